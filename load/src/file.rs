//! Results on their way between runs and reports: one JSON value a line.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The reason why a file of results can't be written or read.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum FileError {
    /// The system refused.
    #[display("{}: {source}; check the path and its permissions", path.display())]
    System {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A line is not what it should be.
    #[display("{}: line {line}: {source}; was it written by another release?", path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What the parser said.
        source: serde_json::Error,
    },
}

/// Reads a whole text.
///
/// # Errors
///
/// Returns [`FileError`] if the system refuses.
pub fn read_text(path: &Path) -> Result<String, FileError> {
    fs::read_to_string(path).map_err(|source| FileError::System {
        path: path.to_owned(),
        source,
    })
}

/// Writes a whole text.
///
/// # Errors
///
/// Returns [`FileError`] if the system refuses.
pub fn write_text(path: &Path, text: &str) -> Result<(), FileError> {
    fs::write(path, text).map_err(|source| FileError::System {
        path: path.to_owned(),
        source,
    })
}

/// Reads one value from each line.
///
/// # Errors
///
/// Returns [`FileError`] that names the line.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, FileError> {
    let text = read_text(path)?;
    let lines = text.lines().enumerate();
    let values = lines.map(|(index, line)| {
        serde_json::from_str(line).map_err(|source| FileError::Line {
            path: path.to_owned(),
            line: index + 1,
            source,
        })
    });
    values.collect()
}

/// Writes values as they come, each flushed, so that a broken run keeps its part.
#[derive(Debug)]
pub struct Lines {
    path: PathBuf,
    file: BufWriter<File>,
}

impl Lines {
    /// Creates the file, or continues it.
    ///
    /// # Errors
    ///
    /// Returns [`FileError`] if the system refuses.
    pub fn append(path: &Path) -> Result<Self, FileError> {
        let file = File::options().create(true).append(true).open(path);
        let file = file.map_err(|source| FileError::System {
            path: path.to_owned(),
            source,
        })?;
        Ok(Self {
            path: path.to_owned(),
            file: BufWriter::new(file),
        })
    }

    /// Writes some values.
    ///
    /// # Errors
    ///
    /// Returns [`FileError`] if the system refuses.
    pub fn write<'a, T: Serialize + 'a>(
        &mut self,
        values: impl IntoIterator<Item = &'a T>,
    ) -> Result<(), FileError> {
        let written = values.into_iter().try_for_each(|value| {
            serde_json::to_writer(&mut self.file, value)?;
            self.file.write_all(b"\n")
        });
        let flushed = written.and_then(|()| self.file.flush());
        flushed.map_err(|source| FileError::System {
            path: self.path.clone(),
            source,
        })
    }
}
