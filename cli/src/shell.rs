//! The interactive mode: history, completion, checks while typing.

use std::path::Path;

use rustyline::Completer;
use rustyline::Context;
use rustyline::Editor;
use rustyline::Helper;
use rustyline::Highlighter;
use rustyline::Hinter;
use rustyline::Validator;
use rustyline::completion::Completer;
use rustyline::completion::Pair;
use rustyline::config::Configurer;
use rustyline::error::ReadlineError;
use rustyline::history::DefaultHistory;
use snipeyoke_lib::query::Field;
use snipeyoke_lib::query::KEYWORDS;
use snipeyoke_lib::query::Subject;

/// The statements remembered.
const HISTORY: usize = 1_000;

/// Completes keywords, subjects and fields.
#[derive(Debug)]
pub struct Words {
    words: Vec<String>,
}

impl Default for Words {
    fn default() -> Self {
        let mut words: Vec<_> = KEYWORDS.iter().map(ToString::to_string).collect();
        words.extend(Subject::ALL.iter().map(ToString::to_string));
        words.extend(Field::ALL.iter().map(ToString::to_string));
        words.sort_unstable();
        words.dedup();
        Self { words }
    }
}

impl Words {
    /// Returns where the word before `position` begins, and what it may become.
    #[must_use]
    pub fn candidates(&self, line: &str, position: usize) -> (usize, Vec<String>) {
        let before = line.get(..position).unwrap_or(line);
        let begin = before
            .rfind(|c: char| c.is_whitespace() || "(;,".contains(c))
            .map_or(0, |at| at + 1);
        let typed = before[begin..].to_ascii_lowercase();
        let fits = |w: &&String| !typed.is_empty() && w.starts_with(&typed);
        (begin, self.words.iter().filter(fits).cloned().collect())
    }
}

impl Completer for Words {
    type Candidate = Pair;

    fn complete(
        &self,
        line: &str,
        pos: usize,
        _ctx: &Context<'_>,
    ) -> rustyline::Result<(usize, Vec<Pair>)> {
        let (begin, words) = self.candidates(line, pos);
        let pair = |word: String| Pair {
            display: word.clone(),
            replacement: word,
        };
        Ok((begin, words.into_iter().map(pair).collect()))
    }
}

/// What the editor asks for help.
#[derive(Debug, Default)]
#[derive(Completer, Helper, Highlighter, Hinter, Validator)]
struct Aid {
    #[rustyline(Completer)]
    words: Words,
}

/// A terminal that reads one statement after another.
pub struct Shell<'a> {
    editor: Editor<Aid, DefaultHistory>,
    history: Option<&'a Path>,
}

impl std::fmt::Debug for Shell<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shell").finish_non_exhaustive()
    }
}

impl<'a> Shell<'a> {
    /// Opens the terminal; the history stays in memory unless a file is given.
    ///
    /// # Errors
    ///
    /// Returns the terminal's error, or the file's.
    pub fn open(history: Option<&'a Path>) -> Result<Self, ReadlineError> {
        let mut editor = Editor::new()?;
        editor.set_helper(Some(Aid::default()));
        editor.set_max_history_size(HISTORY)?;
        if let Some(path) = history.filter(|p| p.exists()) {
            editor.load_history(path)?;
        }
        Ok(Self { editor, history })
    }

    /// Reads a line; `None` at the end of input.
    ///
    /// # Errors
    ///
    /// Returns the terminal's error.
    pub fn line(&mut self) -> Result<Option<String>, ReadlineError> {
        match self.editor.readline("snipeyoke> ") {
            Ok(line) => {
                self.editor.add_history_entry(line.as_str())?;
                Ok(Some(line))
            }
            Err(ReadlineError::Interrupted) => Ok(Some(String::new())),
            Err(ReadlineError::Eof) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes the history, if a file was given for it.
    ///
    /// # Errors
    ///
    /// Returns the file's error.
    pub fn close(mut self) -> Result<(), ReadlineError> {
        match self.history {
            Some(path) => self.editor.save_history(path),
            None => Ok(()),
        }
    }
}
