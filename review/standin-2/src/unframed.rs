//! A worker crashes while it sends streams without a length.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::http::send;
use crate::site::{KEY, Site};

const EVENTS: u64 = 30;
const GAP_MS: u64 = 100;
const WORKERS: usize = 4;
/// Workers some of whose streams have no length: share 0.5.
const FAULTY: usize = 2;
const STREAMS: usize = 200;

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-page","host":"pule25.example","path-prefix":"/page/","kind":"streaming","service":"llm",
  "timeout-ms":10000,"goal-ms":1500,"priority":0,"max-attempts":1,"public":false,"sticky":true,
  "can-resume":false,"gap-goal-ms":600},
 {"name":"r-talk","host":"pule25.example","path-prefix":"/talk/","kind":"streaming","service":"llm",
  "timeout-ms":8000,"goal-ms":4000,"priority":2,"max-attempts":2,"public":false,"sticky":true,
  "can-resume":true,"gap-goal-ms":600}],
 "services":[{"name":"llm","health-path":"/health","max-conns":480,"engine":{"slots":64}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"bozi300","api-keys":["key-1"],"priority":1}]}"#;

/// Returns whether the rule held.
pub fn run(case: &Path, is_troubled: bool) -> bool {
    let mut site = Site::start(case, CONFIG);
    let (events, gap) = (EVENTS.to_string(), GAP_MS.to_string());
    for number in 0..WORKERS {
        let id = format!("i-llm-{number}");
        let kind = if number < FAULTY { "faulty" } else { "sound" };
        site.start_worker(&id, "llm", &[kind, &events, &gap]);
    }
    site.start_fronts(2);
    let callers: Vec<String> = site.fronts.iter().map(|f| f.callers.clone()).collect();
    let streams = (0..STREAMS).map(|number| {
        let address = callers[number % callers.len()].clone();
        thread::spawn(move || {
            let path = if number % 4 < 2 { "/page/a" } else { "/talk/a" };
            let headers = format!(
                "{KEY}Snipeyoke-Attempt-Id: a{number:04}\r\nSnipeyoke-Deadline-Ms: 8000\r\n\
                 Snipeyoke-Model: m\r\nSnipeyoke-Token-Count: 1460,120\r\n\
                 Snipeyoke-Prompt-Prefix: 5c1e{number:04x}:800,91bd{number:04x}:660\r\n"
            );
            (path, send(&address, "POST", path, &headers, b"a prompt"))
        })
    });
    let streams: Vec<_> = streams.collect();
    thread::sleep(Duration::from_millis(EVENTS * GAP_MS / 2));
    if is_troubled {
        let running = site.recorded();
        let worker = site.workers.iter_mut().max_by_key(|w| {
            let own = running.lines().filter(|l| l.starts_with(&w.id));
            own.filter(|l| l.ends_with("without a length")).count()
        });
        let worker = worker.expect("there are some");
        worker.kill();
        let line = format!("{} was killed", worker.id);
        site.note(&line);
    }
    let mut false_ends = 0;
    for (number, stream) in streams.into_iter().enumerate() {
        let (path, answer) = stream.join().expect("no panic");
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let ids = body
            .lines()
            .filter_map(|l| l.strip_prefix("id: ")?.parse::<u64>().ok());
        let ids: Vec<u64> = ids.collect();
        let is_complete = ids == (1..=EVENTS).collect::<Vec<_>>();
        let is_false = answer.status == 200 && answer.whole && !is_complete;
        false_ends += u32::from(is_false);
        site.note(&format!(
            "client a{number:04} {path}: status {}, events 1 to {} of {EVENTS}, {}{}",
            answer.status,
            ids.last().copied().unwrap_or(0),
            if answer.whole {
                "ended as complete"
            } else {
                "broken off"
            },
            if is_false { ": ORDER is broken" } else { "" },
        ));
    }
    site.note(&format!(
        "{false_ends} streams ended as complete before their last event"
    ));
    false_ends == 0
}
