//! Settings files that change without a signal.

use std::fs;

use snipeyoke_runtime::settings::Watch;

#[test]
fn changed_text_is_a_change_and_a_missing_file_is_not() {
    // A file is replaced while it is looked at: for a moment it isn't there.
    // The process must neither end nor take this for a change.
    let path = std::env::temp_dir().join(format!("snipeyoke-watch-{}", std::process::id()));
    fs::write(&path, "{}").expect("a file of our own");
    let mut watch = Watch::new(&path);
    assert!(!watch.has_changed());
    fs::write(&path, "{ }").expect("a file of our own");
    assert!(watch.has_changed());
    assert!(!watch.has_changed());
    fs::remove_file(&path).expect("a file of our own");
    assert!(!watch.has_changed());
    fs::write(&path, "{ }").expect("a file of our own");
    assert!(!watch.has_changed());
    fs::remove_file(&path).expect("a file of our own");
}
