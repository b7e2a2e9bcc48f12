//! Settings files: JSON with comments, checked before use.

use std::error::Error as StdError;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// The reason why a settings file is refused.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("{}: can't be read: {source}; check the path and its permissions", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The text is no JSON with comments.
    #[display("{}: line {line}, column {column}: {message}; correct the syntax there", path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// What was found.
        message: String,
    },
    /// A key is missing, unknown or of the wrong type.
    #[display("{}: {message}; see docs/operators/settings.md for each key", path.display())]
    Shape {
        /// The file.
        path: PathBuf,
        /// What was found, with the key and, where known, the line.
        message: String,
    },
    /// A value is out of its range.
    #[display("{}: {message}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// The key, the value and the remedy.
        message: String,
    },
}

impl SettingsError {
    /// Tells whether the file could not be read at all.
    #[must_use]
    pub const fn is_read(&self) -> bool {
        matches!(self, Self::Read { .. })
    }
}

/// Settings that are parsed as [`Checked::Raw`] and then checked.
pub trait Checked: Sized {
    /// The settings as they stand in the file.
    type Raw: DeserializeOwned;
    /// The reason why a value is refused, naming the key and the remedy.
    type Error: StdError;

    /// Checks the raw settings.
    ///
    /// # Errors
    ///
    /// Returns the first value that is out of its range.
    fn check(raw: Self::Raw) -> Result<Self, Self::Error>;
}

/// Notices when a settings file has other text than before.
///
/// A file may change without a signal. Its text is compared, as the time of a
/// file may stay the same over two writes.
#[derive(Debug)]
pub struct Watch {
    path: PathBuf,
    text: Option<String>,
}

impl Watch {
    /// Starts with the text that the file has now.
    #[must_use]
    pub fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            text: fs::read_to_string(path).ok(),
        }
    }

    /// Tells whether the text is another one than at the last look.
    ///
    /// A file that can't be read now is no change: it may be on its way.
    pub fn has_changed(&mut self) -> bool {
        let Ok(text) = fs::read_to_string(&self.path) else {
            return false;
        };
        let changed = self.text.as_ref() != Some(&text);
        self.text = Some(text);
        changed
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns [`SettingsError`], which names the file, the key and the remedy.
pub fn load<T: Checked>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(path, &text)
}

/// Checks settings given as text; `path` only names them in errors.
///
/// # Errors
///
/// Returns [`SettingsError`], which names the file, the key and the remedy.
pub fn parse<T: Checked>(path: &Path, text: &str) -> Result<T, SettingsError> {
    let value = parse_to_serde_value::<serde_json::Value>(text, &ParseOptions::default());
    let value = value.map_err(|error| SettingsError::Syntax {
        path: path.to_owned(),
        line: error.line_display(),
        column: error.column_display(),
        message: error.kind().to_string(),
    })?;
    let raw = T::Raw::deserialize(value).map_err(|error| SettingsError::Shape {
        path: path.to_owned(),
        message: with_line(text, &error.to_string()),
    })?;
    T::check(raw).map_err(|error| SettingsError::Value {
        path: path.to_owned(),
        message: with_line(text, &error.to_string()),
    })
}

/// Adds the line of the first key that the message quotes.
fn with_line(text: &str, message: &str) -> String {
    let quoted = message.split('`').nth(1).unwrap_or_default();
    let last = quoted.rsplit('.').next().unwrap_or_default();
    if last.is_empty() {
        return message.to_owned();
    }
    let needle = format!("\"{last}\"");
    match text.lines().position(|line| line.contains(&needle)) {
        Some(index) => format!("line {}: {message}", index + 1),
        None => message.to_owned(),
    }
}
