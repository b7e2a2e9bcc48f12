//! Open-loop load, experiments and reports for snipeyoke, for tests only.

pub mod cell;
pub mod chaos;
pub mod drive;
pub mod experiment;
pub mod file;
pub mod overhead;
pub mod plan;
pub mod report;
pub mod sample;
pub mod scene;
