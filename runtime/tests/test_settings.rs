//! Tests of settings files: every error contains the file, the place and the remedy.

use std::path::Path;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use snipeyoke_runtime::settings::Checked;
use snipeyoke_runtime::settings::parse;

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    threads: usize,
}

#[derive(Debug)]
struct Settings {
    threads: usize,
}

#[derive(Debug)]
#[derive(Display, Error)]
#[display("`threads` is 0: give at least 1")]
struct Zero;

impl Checked for Settings {
    type Raw = Raw;
    type Error = Zero;

    fn check(raw: Raw) -> Result<Self, Zero> {
        if raw.threads == 0 {
            return Err(Zero);
        }
        Ok(Self {
            threads: raw.threads,
        })
    }
}

fn error(text: &str) -> String {
    let parsed = parse::<Settings>(Path::new("node.jsonc"), text);
    parsed.expect_err("the settings are refused").to_string()
}

#[test]
fn comments_and_trailing_commas_are_accepted() {
    let text = "{\n  // one a core\n  \"threads\": 2,\n}";
    let settings = parse::<Settings>(Path::new("node.jsonc"), text).expect("valid settings");
    assert_eq!(settings.threads, 2);
}

#[test]
fn each_kind_of_mistake_names_its_place() {
    let syntax = error("{\n  \"threads\": }\n");
    assert!(
        syntax.starts_with("node.jsonc: line 2, column "),
        "{syntax}"
    );
    let unknown = error("{\n  \"threads\": 1,\n  \"thread\": 1\n}");
    assert!(
        unknown.starts_with("node.jsonc: line 3: unknown field `thread`"),
        "{unknown}"
    );
    let missing = error("{}");
    assert!(
        missing.starts_with("node.jsonc: missing field `threads`"),
        "{missing}"
    );
    let range = error("{\n  \"threads\": 0\n}");
    assert_eq!(range, "node.jsonc: line 2: `threads` is 0: give at least 1");
}
