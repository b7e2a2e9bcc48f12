//! Processor time of this process's threads, where the system tells it.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

/// The busiest threads shown.
const SHOWN: usize = 4;

/// Processor time of each thread, by its number, with its name.
pub(super) type Threads = BTreeMap<u64, (String, Duration)>;

/// Reads the times; empty on a system without them.
pub(super) fn threads() -> Threads {
    let mut threads = Threads::new();
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return threads;
    };
    for task in tasks.flatten() {
        let Ok(id) = task.file_name().to_string_lossy().parse() else {
            continue;
        };
        let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        // The first number is the time on a processor, in nanoseconds.
        let times = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let nanos = times.split(' ').next().and_then(|n| n.parse().ok());
        let time = Duration::from_nanos(nanos.unwrap_or_default());
        threads.insert(id, (name.trim().to_owned(), time));
    }
    threads
}

/// Names the threads that used most, in percent of one core.
pub(super) fn busiest(before: &Threads, after: &Threads, took: Duration) -> String {
    let mut used: Vec<(f64, &str)> = after
        .iter()
        .map(|(id, (name, time))| {
            let earlier = before.get(id).map_or(Duration::ZERO, |(_, t)| *t);
            let share = time.saturating_sub(earlier).as_secs_f64() / took.as_secs_f64();
            (share * 100.0, name.as_str())
        })
        .collect();
    used.sort_by(|a, b| b.0.total_cmp(&a.0));
    let shown = used.iter().take(SHOWN);
    let shown: Vec<String> = shown
        .map(|(share, name)| format!("{name} {share:.0}%"))
        .collect();
    shown.join(", ")
}
