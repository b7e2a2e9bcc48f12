//! Not yet built; see docs/architecture.md.
