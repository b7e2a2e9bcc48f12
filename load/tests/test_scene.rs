//! Tests of the examples and of what is published of them.

use std::path::Path;

use assert_matches::assert_matches;
use snipeyoke_lib::config::Config;
use snipeyoke_load::scene::Deployment;
use snipeyoke_load::scene::SceneError;
use snipeyoke_load::scene::changes;
use snipeyoke_load::scene::files;
use snipeyoke_runtime::settings;

const EXAMPLES: [&str; 2] = [
    include_str!("../../examples/vestlandsprint.jsonc"),
    include_str!("../../examples/sentiercoop.jsonc"),
];

#[test]
fn examples_have_the_sizes_of_the_brief_and_publish_as_written() {
    let sizes = [[10, 3, 3, 5, 5], [20, 3, 3, 5, 5]];
    for (text, sizes) in EXAMPLES.iter().zip(sizes) {
        let deployment = Deployment::parse(text).expect("the example is well-formed");
        let scene = deployment.scene();
        let helpers = ["encoders", "retrievers", "rerankers"];
        let services = scene.pools.iter();
        let services = services.filter(|p| !helpers.contains(&p.name.as_str()));
        assert_eq!(services.map(|p| p.count).collect::<Vec<_>>(), sizes);
        assert_eq!((scene.domains.len(), scene.config.accounts.len()), (3, 5));
        let mut folded = Config::default();
        for change in changes(&scene.config) {
            folded = change.apply(&folded).expect("each change is accepted");
        }
        assert_eq!(folded, scene.config);
    }
}

#[test]
fn names_what_is_wrong_with_a_deployment() {
    let none = EXAMPLES[0].replace("\"routers\": 3", "\"routers\": 0");
    assert_matches!(Deployment::parse(&none), Err(SceneError::Empty { key }) if key == "routers");
    let unknown = EXAMPLES[0].replace("\"client_ms\"", "\"client_mss\"");
    let error = Deployment::parse(&unknown).expect_err("the key is unknown");
    assert!(error.to_string().contains("client_mss"), "{error}");
    let missing = EXAMPLES[0].replace("\"pool\": \"desk\"", "\"pool\": \"disk\"");
    assert_matches!(Deployment::parse(&missing), Err(SceneError::Config(_)));
    let slots = EXAMPLES[0].replace("\"batch\": 8", "\"batch\": 0");
    assert_matches!(Deployment::parse(&slots), Err(SceneError::Settings(_)));
}

#[test]
fn settings_files_are_those_that_the_processes_take() {
    let folders = [("vestlandsprint", 7_000), ("sentiercoop", 8_000)];
    for (text, (name, port)) in EXAMPLES.iter().zip(folders) {
        let deployment = Deployment::parse(text).expect("the example is well-formed");
        let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../examples")
            .join(name);
        for (file, made) in files(&deployment, port) {
            let path = folder.join(&file);
            let kept = std::fs::read_to_string(&path).unwrap_or_default();
            assert!(
                kept == made,
                "run `snipeyoke-load settings` again for {name}/{file}"
            );
            let taken = match file.split('-').next() {
                Some("agent") => {
                    settings::load::<snipeyoke_agent::settings::Settings>(&path).map(|_| ())
                }
                Some("router") => {
                    settings::load::<snipeyoke_router::settings::Settings>(&path).map(|_| ())
                }
                _ => {
                    let all = snipeyoke_standin::Settings::parse_all(&kept);
                    assert!(all.is_ok_and(|all| all.len() > 30), "{file}");
                    Ok(())
                }
            };
            assert!(taken.is_ok(), "{name}/{file}: {taken:?}");
        }
    }
}
