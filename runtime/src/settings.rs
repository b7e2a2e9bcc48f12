//! Settings files in JSON with comments, checked when loaded.

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
    /// The file has no value.
    #[display("{}: is empty; write the settings as JSON", path.display())]
    Empty {
        /// The file.
        path: PathBuf,
    },
    /// The text is not valid JSON with comments.
    #[display("{}: line {line}, column {column}: {message}; correct the syntax there", path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// The parser's message.
        message: String,
    },
    /// A key is missing, unknown or of the wrong type.
    #[display("{}: {message}; see docs/operators/settings.md for each key", path.display())]
    Shape {
        /// The file.
        path: PathBuf,
        /// The message with the key and, if known, the line.
        message: String,
    },
    /// A value is out of its range.
    #[display("{}: {message}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// The message with the key, the value and the remedy.
        message: String,
    },
}

impl SettingsError {
    /// Returns whether the file could not be read.
    #[must_use]
    pub const fn is_read(&self) -> bool {
        matches!(self, Self::Read { .. })
    }

    /// Returns whether the file may only have to be written to its end.
    #[must_use]
    pub const fn is_unfinished(&self) -> bool {
        matches!(
            self,
            Self::Read { .. } | Self::Empty { .. } | Self::Syntax { .. }
        )
    }
}

/// Settings that are parsed as [`Checked::Raw`] and then checked.
pub trait Checked: Sized {
    /// The settings as deserialized from the file.
    type Raw: DeserializeOwned;
    /// The reason why a value is refused, naming the key and the remedy.
    type Error: StdError;

    /// Checks the raw settings.
    ///
    /// # Errors
    ///
    /// Returns an error for the first value out of range.
    fn check(raw: Self::Raw) -> Result<Self, Self::Error>;
}

/// Detects changes of a settings file by comparing its text.
///
/// The modification time may stay the same over two writes.
#[derive(Debug)]
pub struct Watch {
    path: PathBuf,
    text: Option<String>,
}

impl Watch {
    /// Starts with the current text of the file.
    #[must_use]
    pub fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            text: fs::read_to_string(path).ok(),
        }
    }

    /// Returns the path of the file.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns whether the text has changed since the last call.
    ///
    /// An unreadable file is not a change, as it may be about to be replaced.
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
    // The parser returns null for a text without a value.
    if value.is_null() {
        return Err(SettingsError::Empty {
            path: path.to_owned(),
        });
    }
    let raw = T::Raw::deserialize(value).map_err(|error| SettingsError::Shape {
        path: path.to_owned(),
        message: with_line(text, &error.to_string()),
    })?;
    T::check(raw).map_err(|error| SettingsError::Value {
        path: path.to_owned(),
        message: with_line(text, &error.to_string()),
    })
}

/// Adds the line number of the first key quoted in the message.
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
