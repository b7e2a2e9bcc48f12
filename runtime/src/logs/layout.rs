//! The layout of a log record as one line of key=value pairs.

use std::fmt::Write;

use jiff::Timestamp;
use logforth::Diagnostic;
use logforth::Error;
use logforth::Layout;
use logforth::kv::KeyView;
use logforth::kv::ValueView;
use logforth::kv::Visitor;
use logforth::record::Record;

/// Writes time, level and module, followed by the pairs of the event.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pairs;

impl Layout for Pairs {
    fn format(&self, record: &Record, _diags: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let mut line = Line(String::with_capacity(256));
        match Timestamp::try_from(record.time()) {
            Ok(time) => line.pair("time", &format!("{time:.3}")),
            Err(error) => line.pair("time", &error.to_string()),
        }
        line.pair("level", record.level().name());
        line.pair("module", record.target());
        record.key_values().visit(&mut line)?;
        let message = record.payload().to_string();
        if !message.is_empty() {
            line.pair("message", &message);
        }
        Ok(line.0.into_bytes())
    }
}

struct Line(String);

impl Line {
    fn pair(&mut self, key: &str, value: &str) {
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        let plain = |c: char| !c.is_control() && !" =\"\\".contains(c);
        // Writing to a string can't fail.
        let _written = if !value.is_empty() && value.chars().all(plain) {
            write!(self.0, "{key}={value}")
        } else {
            write!(self.0, "{key}=\"{}\"", value.escape_debug())
        };
    }
}

impl Visitor for Line {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        self.pair(key.as_str(), &value.to_string());
        Ok(())
    }
}
