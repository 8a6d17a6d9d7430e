//! A parsed document that collects the problems found while its tables are read.

use crate::problem::{Problem, Problems};
use crate::table::Table;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;
use toml::de::DeTable;
use toml::Spanned;

/// A parsed document, with the problems found in it so far.
#[derive(Debug)]
pub struct Document<'t> {
    file: String,
    text: &'t str,
    root: Spanned<DeTable<'t>>,
    problems: RefCell<Vec<Problem>>,
    /// Paths of all keys of the document that have been read.
    read_keys: RefCell<BTreeSet<String>>,
}

impl<'t> Document<'t> {
    /// Parses the text of a document; `file` is the name under which problems are reported.
    ///
    /// # Errors
    /// The text is not valid TOML. Every syntax error is reported.
    pub fn parse(file: &str, text: &'t str) -> Result<Document<'t>, Problems> {
        let (root, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            let list = errors.iter().map(|error| syntax_problem(text, error)).collect();
            return Err(Problems { file: file.to_owned(), list });
        }
        Ok(Document {
            file: file.to_owned(),
            text,
            root,
            problems: RefCell::default(),
            read_keys: RefCell::default(),
        })
    }

    /// The top-level table of the document.
    pub fn root(&self) -> Table<'_, 't> {
        Table::root(self, self.root.get_ref())
    }

    /// Returns `value` if no problem was found so far in the document.
    ///
    /// # Errors
    /// All problems found while the tables were read.
    pub fn check<T>(&self, value: T) -> Result<T, Problems> {
        let mut list = self.problems.borrow().clone();
        if list.is_empty() {
            return Ok(value);
        }
        list.sort_by(|left, right| (left.line, &left.key).cmp(&(right.line, &right.key)));
        list.dedup();
        Err(Problems { file: self.file.clone(), list })
    }

    /// Records a problem with the key of the path `key` at the position `span` of the text.
    pub(crate) fn add_problem(&self, span: &Range<usize>, key: String, text: String) {
        let line = line_of(self.text, span.start);
        self.problems.borrow_mut().push(Problem { line, key, text });
    }

    /// Records that the key of the path `key` was read.
    pub(crate) fn record_read(&self, key: String) {
        self.read_keys.borrow_mut().insert(key);
    }

    /// Whether the key of the path `key` was read.
    pub(crate) fn was_read(&self, key: &str) -> bool {
        self.read_keys.borrow().contains(key)
    }

    /// Names of the keys that have been read directly in the table
    /// whose paths begin with `prefix`, in alphabetical order.
    pub(crate) fn keys_read_below(&self, prefix: &str) -> Vec<String> {
        let read_keys = self.read_keys.borrow();
        let names = read_keys.iter().filter_map(|path| path.strip_prefix(prefix));
        names.filter(|name| !name.contains(['.', '['])).map(str::to_owned).collect()
    }
}

fn syntax_problem(text: &str, error: &toml::de::Error) -> Problem {
    let start = error.span().map_or(0, |span| span.start);
    Problem { line: line_of(text, start), key: String::new(), text: error.message().to_owned() }
}

/// The number of the line that contains the byte at `offset` of the text, counted from 1.
fn line_of(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}
