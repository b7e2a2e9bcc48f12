//! Tests of reports.

use snipeyoke_load::cell::Cell;
use snipeyoke_load::cell::Mark;
use snipeyoke_load::cell::Setup;
use snipeyoke_load::report;
use snipeyoke_load::sample::Verdict;

use crate::test_audit::sample;

fn cell(policy: &str, load: f64, whole: u64) -> Cell {
    let setup = Setup {
        deployment: "d<1>".to_owned(),
        policy: policy.to_owned(),
        load,
        fault: "plain".to_owned(),
        rate: 10.0,
        seconds: 4.0,
        marks: vec![Mark {
            name: "dead".to_owned(),
            from: 1.0,
            until: 2.0,
        }],
        ..Setup::default()
    };
    let samples: Vec<_> = (0..10)
        .map(|serial| {
            if serial < whole {
                sample(serial, Verdict::Whole, 1_000 * (serial + 1))
            } else {
                sample(serial, Verdict::NotRun, 5)
            }
        })
        .collect();
    Cell::new(setup, &samples)
}

#[test]
fn shows_policies_side_by_side_and_says_what_was_not_run() {
    let cells = [
        cell("round-robin", 50.0, 4),
        cell("predicted", 50.0, 9),
        cell("predicted", 80.0, 7),
    ];
    let text = report::text(&cells);
    assert!(text.contains("| load | fault | offered/s | predicted | cost | round-robin | cost |"));
    assert!(
        text.contains("| 50% | plain | 10 | 90.0 | 0.000 | 40.0 | 0.000 |"),
        "{text}"
    );
    assert!(
        text.contains("| 80% | plain | 10 | 70.0 | 0.000 | not run | |"),
        "{text}"
    );
    assert!(text.contains("6 not-run: overload"), "{text}");
}

#[test]
fn draws_a_page_that_needs_nothing_else() {
    let cells = [
        cell("predicted", 50.0, 9),
        cell("predicted", 80.0, 7),
        cell("round-robin", 80.0, 4),
    ];
    let plots = report::plots(&cells).expect("the cells can be drawn");
    let named = |part: &str| plots.iter().any(|p| p.name.contains(part));
    for part in [
        "plain-attainment",
        "plain-cost",
        "80-plain-time",
        "latency-by-kind",
        "refusals",
    ] {
        assert!(named(part), "no plot {part}");
    }
    let page = report::html(&cells, &plots);
    assert_eq!(page.matches("<svg").count(), plots.len());
    assert!(page.contains("d&lt;1&gt;") && !page.contains("d<1>"));
    for outside in ["src=", "href=", "@import", "url("] {
        assert!(!page.contains(outside), "the page asks for {outside}");
    }
}

#[test]
fn cells_survive_their_file() {
    let cells = [cell("predicted", 50.0, 9)];
    let line = serde_json::to_string(&cells[0]).expect("cells have a JSON form");
    let back: Cell = serde_json::from_str(&line).expect("the line is a cell");
    assert_eq!(back, cells[0]);
}
