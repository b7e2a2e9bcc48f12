//! Tests of what is counted, and of the promises that are checked.

use std::collections::BTreeMap;

use snipeyoke_load::cell::Cell;
use snipeyoke_load::cell::Setup;
use snipeyoke_load::cell::audit;
use snipeyoke_load::sample::Sample;
use snipeyoke_load::sample::Verdict;

pub fn sample(serial: u64, verdict: Verdict, latency_us: u64) -> Sample {
    Sample {
        serial,
        at_us: serial * 400_000,
        account: "a".to_owned(),
        kind: "approval".to_owned(),
        status: 200,
        verdict,
        reason: "overload".to_owned(),
        latency_us,
        first_us: latency_us / 2,
        deadline_us: 1_000_000,
        key: Some(format!("k{serial}")),
        request: String::new(),
    }
}

#[test]
fn counts_each_request_once_and_late_ones_as_not_attained() {
    let samples = [
        sample(0, Verdict::Whole, 900_000),
        sample(1, Verdict::Whole, 1_000_001),
        sample(2, Verdict::NotRun, 5),
        sample(3, Verdict::Unknown, 5),
        sample(4, Verdict::Wrong, 5),
        sample(5, Verdict::Partial, 5),
        sample(6, Verdict::Rejected, 5),
    ];
    let cell = Cell::new(Setup::default(), &samples);
    let counts = cell.counts;
    let ended = [counts.attained, counts.late, counts.not_run, counts.unknown];
    assert_eq!(ended, [1, 1, 1, 1]);
    assert_eq!((counts.wrong, counts.rejected, counts.offered), (2, 1, 7));
    assert_eq!(cell.violations.len(), 3, "{:?}", cell.violations);
    assert_eq!(cell.ticks.iter().map(|t| t.offered).sum::<u64>(), 7);
    assert_eq!(cell.ticks[0].attained, 1);
}

#[test]
fn finds_doubled_denied_and_lost_effects() {
    // A client is invoiced twice, or is told "not run" of an invoice that went
    // out, or "done" of one that never did. Each shows in the effects by key.
    let samples = [
        sample(0, Verdict::Unknown, 5),
        sample(1, Verdict::NotRun, 5),
        sample(2, Verdict::Whole, 5),
        sample(3, Verdict::Whole, 5),
        sample(4, Verdict::Unknown, 5),
    ];
    let effects = [("k0", 2), ("k1", 1), ("k3", 1), ("k4", 1)];
    let effects: BTreeMap<String, u64> =
        effects.iter().map(|(k, n)| ((*k).to_owned(), *n)).collect();
    let found = audit(&samples, &effects);
    assert_eq!(found.len(), 3, "{found:?}");
    assert!(found[0].contains("more than once") && found[1].contains("\"not run\" and ran"));
    assert!(found[2].contains("never ran"));
}
