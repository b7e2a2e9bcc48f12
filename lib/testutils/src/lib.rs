//! Simulations shared by the tests of snipeyoke.

pub mod mesh;
pub mod world;
