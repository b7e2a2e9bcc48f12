//! Stage workers send a second answer, late, where the answer to the next call is due.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::send;
use crate::site::{KEY, Site};

/// The workers of `employer-portal` on the sheet.
const STAGE_WORKERS: usize = 9;
/// Share 0.56 of them.
const FAULTY: usize = 5;
const CLIENTS: usize = 60;
const PIECES: usize = 2;
/// The requests before, during and after the second answers.
const BEFORE: Duration = Duration::from_secs(5);
const DURING: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(8);

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-draft","host":"pule25.example","path-prefix":"/draft/","kind":"streaming","service":"llm",
  "timeout-ms":8000,"goal-ms":4000,"priority":1,"max-attempts":1,"public":false,"sticky":true,
  "can-resume":false,"gap-goal-ms":600,
  "stages":[{"service":"prep","after":[],"bytes":8000}]}],
 "services":[{"name":"llm","health-path":"/health","max-conns":480,"engine":{"slots":64}},
 {"name":"prep","health-path":"/health","max-conns":480,
  "pieces":{"slots":1,"queue":2,"batch":8,"call-ms":150.0,"item-ms":16.0,"headroom-mb":47.0,
            "handle-ttl-s":4.0,"link-mbps":10000.0}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"bozi300","api-keys":["key-1"],"priority":1}]}"#;

/// Returns whether the rule held.
pub fn run(case: &Path, is_troubled: bool) -> bool {
    let mut site = Site::start(case, CONFIG);
    let mark = site.file("second-answers");
    let faulty = if is_troubled { FAULTY } else { 0 };
    for number in 0..STAGE_WORKERS {
        let id = format!("i-prep-{number}");
        let path = mark.to_string_lossy();
        let options = [&number.to_string(), &faulty.to_string(), &*path];
        site.start_program("stage", &id, "prep", &options);
    }
    for number in 0..4 {
        site.start_worker(&format!("i-llm-{number}"), "llm", &["sound", "3", "5"]);
    }
    site.start_fronts(2);
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = (0..CLIENTS).map(|client| {
        let address = site.fronts[client % 2].callers.clone();
        let is_over = Arc::clone(&is_over);
        thread::spawn(move || {
            let mut statuses = BTreeMap::new();
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let headers = format!(
                    "{KEY}Snipeyoke-Attempt-Id: c{client:02}x{number:04}\r\n\
                     Snipeyoke-Deadline-Ms: 8000\r\nSnipeyoke-Model: m\r\n\
                     Snipeyoke-Token-Count: 1460,15\r\n\
                     Snipeyoke-Prompt-Prefix: 5c{client:02x}:800,9{client:02x}{number:04x}:660\r\n\
                     Snipeyoke-Pieces: {PIECES}\r\nSnipeyoke-Piece-Key: {client:02x}{number:04x}\r\n"
                );
                let answer = send(&address, "POST", "/draft/a", &headers, b"a prompt");
                *statuses.entry((answer.status, answer.whole)).or_insert(0_u32) += 1;
                if answer.status != 200 {
                    thread::sleep(Duration::from_millis(300));
                }
            }
            statuses
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(BEFORE);
    File::create(&mark).expect("the folder is writable");
    thread::sleep(DURING);
    fs::remove_file(&mark).expect("the folder is writable");
    thread::sleep(AFTER);
    is_over.store(true, Ordering::SeqCst);
    let mut statuses = BTreeMap::new();
    for client in clients {
        for (status, count) in client.join().expect("no panic") {
            *statuses.entry(status).or_insert(0) += count;
        }
    }
    let record = site.recorded();
    let mut made = BTreeMap::new();
    for line in record.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        if let [_, "made", handle, "for", item, ..] = words[..] {
            made.insert(handle, item);
        }
    }
    let seconds = record.lines().filter(|l| l.ends_with(" again")).count();
    let (mut runs, mut wrong) = (0, 0);
    for line in record.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let [worker, "runs", attempt, "with", inputs] = words[..] else {
            continue;
        };
        runs += 1;
        let given: Vec<&str> = inputs.split(',').collect();
        let given: Vec<&str> = given
            .iter()
            .map(|h| made.get(h).copied().unwrap_or("?"))
            .collect();
        let own: BTreeSet<String> = (0..PIECES).map(|p| format!("{attempt}/0/{p}")).collect();
        let found: BTreeSet<String> = given.iter().map(|&g| g.to_owned()).collect();
        if own != found || given.len() != PIECES {
            wrong += 1;
            site.note(&format!(
                "{worker} ran {attempt} on {}: MIXED is broken",
                given.join(" and ")
            ));
        }
    }
    site.note(&format!("clients: {statuses:?} (status, whole: count)"));
    site.note(&format!(
        "{seconds} results in second answers of stage workers"
    ));
    site.note(&format!(
        "{wrong} of {runs} requests ran on inputs that aren't their own"
    ));
    if runs == 0 {
        crate::site::cannot_run("no request ran");
    }
    wrong == 0
}
