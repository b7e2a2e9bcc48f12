//! Helpers shared by the tests of snipeyoke.

pub mod world;
