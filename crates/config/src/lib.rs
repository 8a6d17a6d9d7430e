//! Files of settings that are checked whole: the operator's file of the gateway and the scripts of the rig.
//!
//! A [`Table`] is read key by key. Whatever is wrong is noted with its line and key and reading goes on, so that
//! one look at the file's [`Problems`] shows all that has to be mended. A key that nobody asks for is a problem too.
//!
//! Times are written as text with a unit (`"250ms"`, `"2s"`, `"1.5min"`), sizes likewise (`"64KiB"`).
//!
//! ```
//! use weldworks_config::Document;
//! use std::time::Duration;
//!
//! let document = Document::parse("gateway.toml", "[limits]\nwait = \"250ms\"\nwiat = 1\n").unwrap();
//! let limits = document.root().table("limits").unwrap();
//! assert_eq!(limits.get("wait"), Some(Duration::from_millis(250)));
//! limits.finish();
//! document.root().finish();
//! let problems = document.check(()).unwrap_err();
//! assert_eq!(problems.to_string(), "gateway.toml:3: limits.wiat: no such key here; known are wait");
//! ```

mod value;

pub use value::{Bytes, FromValue, Named};

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The line, counted from 1.
    pub line: usize,
    /// The key with the tables it stands in, joined by dots; empty where the file itself can't be read.
    pub key: String,
    /// What is wrong, and what would be right.
    pub text: String,
}

/// All that is wrong with a file, in the order of its lines; one a line when shown.
#[derive(Clone, Debug, thiserror::Error)]
pub struct Problems {
    /// The file's name.
    pub file: String,
    /// What is wrong; never empty.
    pub list: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, problem) in self.list.iter().enumerate() {
            let (line, text) = (problem.line, &problem.text);
            let end = if n == 0 { "" } else { "\n" };
            match problem.key.as_str() {
                "" => write!(f, "{end}{}:{line}: {text}", self.file)?,
                key => write!(f, "{end}{}:{line}: {key}: {text}", self.file)?,
            }
        }
        Ok(())
    }
}

/// A file that has been read, with the problems found in it so far.
#[derive(Debug)]
pub struct Document<'t> {
    file: String,
    text: &'t str,
    root: Spanned<DeTable<'t>>,
    problems: RefCell<Vec<Problem>>,
    taken: RefCell<BTreeSet<String>>,
}

impl<'t> Document<'t> {
    /// Reads the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    /// Where the text is no TOML; every such place is told, not the first alone.
    pub fn parse(file: &str, text: &'t str) -> Result<Document<'t>, Problems> {
        let (root, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            let problem = |error: &toml::de::Error| Problem {
                line: line_of(text, error.span().map_or(0, |s| s.start)),
                key: String::new(),
                text: error.message().to_owned(),
            };
            return Err(Problems { file: file.to_owned(), list: errors.iter().map(problem).collect() });
        }
        let (problems, taken) = Default::default();
        Ok(Document { file: file.to_owned(), text, root, problems, taken })
    }

    /// The table that the file itself is.
    pub fn root(&self) -> Table<'_, 't> {
        Table { document: self, table: self.root.get_ref(), path: String::new(), span: 0..0 }
    }

    /// Gives `value` where nothing was found wrong.
    ///
    /// # Errors
    /// All that was found wrong while the tables were read.
    pub fn check<T>(&self, value: T) -> Result<T, Problems> {
        let mut list = self.problems.borrow().clone();
        if list.is_empty() {
            return Ok(value);
        }
        list.sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
        list.dedup();
        Err(Problems { file: self.file.clone(), list })
    }

    fn note(&self, span: &Range<usize>, key: String, text: String) {
        let line = line_of(self.text, span.start);
        self.problems.borrow_mut().push(Problem { line, key, text });
    }
}

/// The line in which a byte of the text stands, counted from 1.
fn line_of(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|&b| b == b'\n').count() + 1
}

/// A table of the file.
#[derive(Clone, Debug)]
pub struct Table<'d, 't> {
    document: &'d Document<'t>,
    table: &'d DeTable<'t>,
    path: String,
    span: Range<usize>,
}

impl<'d, 't> Table<'d, 't> {
    fn key(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn value(&self, key: &str) -> Option<&'d Spanned<DeValue<'t>>> {
        self.document.taken.borrow_mut().insert(self.key(key));
        self.table.get(key)
    }

    /// Whether the key stands in the file.
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// The value of a key that may be left out; none also where it is wrong, which is noted.
    pub fn get<T: FromValue>(&self, key: &str) -> Option<T> {
        let value = self.value(key)?;
        match T::from_value(value.get_ref()) {
            Ok(value) => Some(value),
            Err(text) => {
                self.wrong(key, text);
                None
            }
        }
    }

    /// The value of a key that has to be there.
    pub fn need<T: FromValue>(&self, key: &str) -> Option<T> {
        if !self.has(key) {
            self.document.taken.borrow_mut().insert(self.key(key));
            self.document.note(&self.span, self.key(key), format!("is missing: {}", T::EXPECTED));
        }
        self.get(key)
    }

    /// The value of a key, or this where it is left out.
    pub fn or<T: FromValue>(&self, key: &str, otherwise: T) -> T {
        self.get(key).unwrap_or(otherwise)
    }

    /// The same, held to a range; what lies outside is noted.
    pub fn within<T>(&self, key: &str, range: RangeInclusive<T>, otherwise: T) -> T
    where
        T: FromValue + PartialOrd + fmt::Debug + Copy,
    {
        let Some(value) = self.get::<T>(key) else { return otherwise };
        if range.contains(&value) {
            return value;
        }
        self.wrong(key, format!("{value:?} is not within {:?} to {:?}", range.start(), range.end()));
        otherwise
    }

    /// A table that may be left out.
    pub fn table(&self, key: &str) -> Option<Table<'d, 't>> {
        let value = self.value(key)?;
        match value.get_ref() {
            DeValue::Table(table) => {
                let (document, path) = (self.document, self.key(key));
                Some(Table { document, table, path, span: value.span() })
            }
            _ => {
                self.wrong(key, format!("is to be a table: [{}]", self.key(key)));
                None
            }
        }
    }

    /// An array of tables, empty where it is left out.
    pub fn tables(&self, key: &str) -> Vec<Table<'d, 't>> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let DeValue::Array(array) = value.get_ref() else {
            self.wrong(key, format!("is to be an array of tables: [[{}]]", self.key(key)));
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (n, entry) in array.iter().enumerate() {
            let path = format!("{}[{n}]", self.key(key));
            match entry.get_ref() {
                DeValue::Table(table) => {
                    tables.push(Table { document: self.document, table, path, span: entry.span() })
                }
                _ => self.document.note(&entry.span(), path, "is to be a table".to_owned()),
            }
        }
        tables
    }

    /// Notes that the value of a key is wrong.
    pub fn wrong(&self, key: &str, text: impl Into<String>) {
        let span = self.table.get_key_value(key).map_or(self.span.clone(), |(key, _)| key.span());
        self.document.note(&span, self.key(key), text.into());
    }

    /// Notes every key that nobody has asked for. Call it once all others have been read.
    pub fn finish(&self) {
        let taken = self.document.taken.borrow();
        let unknown = self.table.iter().filter(|(key, _)| !taken.contains(&self.key(key.get_ref())));
        let mut known: Vec<String> = Vec::new();
        let above = if self.path.is_empty() { String::new() } else { format!("{}.", self.path) };
        for path in taken.iter() {
            let own = path.strip_prefix(&above).filter(|own| !own.contains(['.', '[']));
            known.extend(own.map(str::to_owned));
        }
        let known = if known.is_empty() { "none".to_owned() } else { known.join(", ") };
        let notes: Vec<_> = unknown.map(|(key, _)| (key.span(), self.key(key.get_ref()))).collect();
        drop(taken);
        for (span, key) in notes {
            self.document.note(&span, key, format!("no such key here; known are {known}"));
        }
    }
}
