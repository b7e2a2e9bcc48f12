//! Parses randomly damaged settings files: JSON with comments.

use std::path::Path;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_router::settings::Settings;
use snipeyoke_runtime::settings::SettingsError;
use snipeyoke_runtime::settings::parse;

/// The number of inputs.
const CASES: u32 = 4_000;

/// A valid file with every key once, and with comments.
const CORPUS: &str = r#"{
  // who it is
  "node": "r-1", "host": "h-1", "domain": "hall-a", "region": "bergen",
  "listen": {"callers": "127.0.0.1:7100", "control": "127.0.0.1:7101", "peers": "127.0.0.1:7102"},
  "agents": ["127.0.0.1:7200"], "routers": [], "platform": "127.0.0.1:7000",
  "policy": "predicted", /* or a baseline */
  "operators": [{"name": "kari", "digest": "0000000000000000000000000000000000000000000000000000000000000000"}],
  "bounds": {"body_bytes": 1048576, "head_ms": 30000, "body_ms": 10000, "conns": 3500, "memory_mb": 256},
  "threads": 2, "log": "info",
}"#;

fn read(text: &str) -> Result<Settings, SettingsError> {
    parse(Path::new("settings.jsonc"), text)
}

#[test]
fn any_text_is_settings_or_an_error_that_names_the_file() {
    // A damaged file must end the start with an error that names the file, not
    // start a router with values that nobody wrote.
    read(CORPUS).expect("the corpus is right");
    let damage = vec((any::<usize>(), any::<u8>()), 1..5);
    let inputs = (damage, any::<usize>(), any::<bool>()).prop_map(|(damage, cut, whole)| {
        let mut bytes = CORPUS.as_bytes().to_vec();
        for (at, byte) in damage {
            let len = bytes.len();
            bytes[at % len] = byte;
        }
        if !whole {
            bytes.truncate(cut % (bytes.len() + 1));
        }
        String::from_utf8_lossy(&bytes).into_owned()
    });
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let outcome = TestRunner::new_with_rng(config, rng).run(&inputs, |text| {
        match read(&text) {
            Ok(settings) => {
                let raw = settings.raw;
                assert!(raw.threads > 0 && raw.bounds.conns > 0, "{raw:?}");
            }
            Err(error) => assert!(error.to_string().starts_with("settings.jsonc: ")),
        }
        Ok(())
    });
    outcome.expect("every text is read or refused");
}
