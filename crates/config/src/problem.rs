//! Problems found in a document.

use std::fmt;

/// One problem of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Number of the problem's line, counted from 1.
    pub line: usize,
    /// Path of the key: the names of its tables and its own name,
    /// joined by dots. Empty if the document can't be parsed.
    pub key: String,
    /// Description of the problem and of a valid value.
    pub text: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.key.is_empty() {
            write!(f, "{}: {}", self.line, self.text)
        } else {
            write!(f, "{}: {}: {}", self.line, self.key, self.text)
        }
    }
}

/// All problems of a document, ordered by line. Displayed as one line for each problem.
#[derive(Clone, Debug, thiserror::Error)]
pub struct Problems {
    /// Name of the document's file.
    pub file: String,
    /// The problems of the document; never empty.
    pub list: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.list.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:{problem}", self.file)?;
        }
        Ok(())
    }
}
