//! Stand-ins and cases of the review: `review-bed CASE ROOT RECORD`.

mod client;
mod front;
mod http;
mod leaving;
mod record;
mod replaced;
mod store;
mod uploads;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use leaving::Reports;
use record::Record;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &args[..] else {
        eprintln!("usage: review-bed CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = match Record::create(Path::new(record)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    let root = Path::new(root);
    let result = match case.as_str() {
        "leaving" => leaving::run(root, &record, trouble, Reports::Long),
        "unanswered" => leaving::run(root, &record, trouble, Reports::Failing),
        "replaced" => replaced::run(root, &record, trouble),
        "uploads" => uploads::run(root, &record, trouble),
        other => Err(std::io::Error::other(format!("no case is named {other}"))),
    };
    match result {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
