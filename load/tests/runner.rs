//! Runs every test of the load.

mod test_audit;
mod test_caller;
mod test_chaos;
mod test_plan;
mod test_report;
mod test_scene;
