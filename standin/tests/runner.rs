//! Runs every test of the stand-ins.

mod client;
mod test_engine;
mod test_plain;
mod test_platform;
mod test_simulation;
mod test_wire;
