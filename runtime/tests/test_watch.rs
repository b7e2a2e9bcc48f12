//! Tests of settings files that change without a signal.

use std::fs;

use snipeyoke_runtime::settings::Watch;

#[test]
fn changed_text_is_a_change_and_a_missing_file_is_not() {
    // Guards against a reload or failure while a settings file is being replaced and
    // is missing for a moment.
    let path = std::env::temp_dir().join(format!("snipeyoke-watch-{}", std::process::id()));
    fs::write(&path, "{}").expect("the temporary file is accessible");
    let mut watch = Watch::new(&path);
    assert!(!watch.has_changed());
    fs::write(&path, "{ }").expect("the temporary file is accessible");
    assert!(watch.has_changed());
    assert!(!watch.has_changed());
    fs::remove_file(&path).expect("the temporary file is accessible");
    assert!(!watch.has_changed());
    fs::write(&path, "{ }").expect("the temporary file is accessible");
    assert!(!watch.has_changed());
    fs::remove_file(&path).expect("the temporary file is accessible");
}
