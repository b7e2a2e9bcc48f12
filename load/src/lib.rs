//! Open-loop load, experiments and reports for snipeyoke, for tests only.

pub mod drive;
pub mod plan;
pub mod sample;
pub mod scene;
