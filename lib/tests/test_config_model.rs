//! Tests of the configuration checks.

use assert_matches::assert_matches;
use snipeyoke_lib::config::Config;
use snipeyoke_lib::config::ConfigError;

fn config(pipelines: &str) -> Config {
    let text = format!(
        r#"{{"accounts": {{}}, "bindings": {{}},
            "pools": {{"desk": {{"price": 1.0, "path": "/approve"}}}},
            "pipelines": {pipelines}}}"#
    );
    serde_json::from_str(&text).expect("the test's configuration is well-formed")
}

#[test]
fn refuses_a_pipeline_without_stages() {
    let config = config(r#"{"p": {"deadline_ms": 3000, "stages": []}}"#);
    assert_matches!(
        config.check(),
        Err(ConfigError::StageCount { count: 0, .. })
    );
}

#[test]
fn refuses_a_stage_after_a_non_idempotent_one() {
    // The caller would see a failure although its proof was approved: the approval
    // runs, then the stage after it fails, and the request with it. A stage with
    // side effects must therefore be the last.
    let config = config(
        r#"{"p": {"deadline_ms": 3000, "stages": [
            {"name": "approve", "role": "call", "pool": "desk", "idempotent": false},
            {"name": "print", "role": "call", "pool": "desk"}]}}"#,
    );
    assert_matches!(config.check(), Err(ConfigError::OnceNotLast { .. }));
}

#[test]
fn names_the_missing_pool() {
    let config = config(
        r#"{"p": {"deadline_ms": 3000, "stages": [
            {"name": "write", "role": "generate", "pool": "copy"}]}}"#,
    );
    let error = config.check().expect_err("the pool does not exist");
    assert_eq!(
        error.to_string(),
        "pipeline p uses pool copy, which does not exist: create the pool first"
    );
}
