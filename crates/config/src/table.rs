//! A table of a document, read key by key.

use crate::document::Document;
use crate::value::FromValue;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A table of a document.
#[derive(Clone, Debug)]
pub struct Table<'d, 't> {
    document: &'d Document<'t>,
    table: &'d DeTable<'t>,
    /// Path of the table: its name and those of the tables around it, joined by dots; empty for the top level.
    path: String,
    span: Range<usize>,
}

impl<'d, 't> Table<'d, 't> {
    pub(crate) fn root(document: &'d Document<'t>, table: &'d DeTable<'t>) -> Table<'d, 't> {
        Table { document, table, path: String::new(), span: 0..0 }
    }

    /// Whether the table has the key.
    pub fn contains(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// The value of an optional key; `None` if the key is missing, or if its value is invalid, which is reported.
    pub fn get<T: FromValue>(&self, key: &str) -> Option<T> {
        let value = self.value(key)?;
        match T::from_value(value.get_ref()) {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(key, error.to_string());
                None
            }
        }
    }

    /// The value of a required key; `None` if the key is missing or its value is invalid, either of which is reported.
    pub fn require<T: FromValue>(&self, key: &str) -> Option<T> {
        if !self.contains(key) {
            let path = self.path_of(key);
            self.document.record_read(path.clone());
            self.document.add_problem(&self.span, path, format!("is missing: {}", T::EXPECTED));
        }
        self.get(key)
    }

    /// The value of an optional key, or `default` if the key is missing or its value is invalid, which is reported.
    pub fn get_or<T: FromValue>(&self, key: &str, default: T) -> T {
        self.get(key).unwrap_or(default)
    }

    /// The value of an optional key, or `default` if the key is missing. An
    /// invalid value or one out of range is reported and replaced by `default`.
    pub fn get_in_range<T>(&self, key: &str, range: RangeInclusive<T>, default: T) -> T
    where
        T: FromValue + PartialOrd + fmt::Debug + Copy,
    {
        let Some(value) = self.get::<T>(key) else { return default };
        if !range.contains(&value) {
            let problem = format!("{value:?} is not within {:?} to {:?}", range.start(), range.end());
            self.report(key, problem);
            return default;
        }
        value
    }

    /// An optional table in this table; a value that is no table is reported.
    pub fn table(&self, key: &str) -> Option<Table<'d, 't>> {
        let value = self.value(key)?;
        let path = self.path_of(key);
        let DeValue::Table(table) = value.get_ref() else {
            self.report(key, format!("must be a table: [{path}]"));
            return None;
        };
        Some(Table { document: self.document, table, path, span: value.span() })
    }

    /// An optional array of tables in this table; empty if the key is missing. An entry that is no table is reported.
    pub fn tables(&self, key: &str) -> Vec<Table<'d, 't>> {
        let Some(value) = self.value(key) else { return Vec::new() };
        let array_path = self.path_of(key);
        let DeValue::Array(array) = value.get_ref() else {
            self.report(key, format!("must be an array of tables: [[{array_path}]]"));
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (index, entry) in array.iter().enumerate() {
            let path = format!("{array_path}[{index}]");
            let span = entry.span();
            match entry.get_ref() {
                DeValue::Table(table) => tables.push(Table { document: self.document, table, path, span }),
                _ => self.document.add_problem(&span, path, "must be a table".to_owned()),
            }
        }
        tables
    }

    /// Reports a problem with the value of a key.
    pub fn report(&self, key: &str, text: impl Into<String>) {
        let span = match self.table.get_key_value(key) {
            Some((key, _)) => key.span(),
            None => self.span.clone(),
        };
        self.document.add_problem(&span, self.path_of(key), text.into());
    }

    /// Reports every unknown key: every key that was not read. Must be called after all known keys have been read.
    pub fn finish(&self) {
        for key in self.table.keys() {
            let path = self.path_of(key.get_ref());
            if !self.document.was_read(&path) {
                let text = format!("unknown key; known keys: {}", self.known_keys());
                self.document.add_problem(&key.span(), path, text);
            }
        }
    }

    /// The names of the table's keys that have been read, as text for messages.
    fn known_keys(&self) -> String {
        let prefix = if self.path.is_empty() { String::new() } else { format!("{}.", self.path) };
        let known = self.document.keys_read_below(&prefix);
        if known.is_empty() {
            return "none".to_owned();
        }
        known.join(", ")
    }

    /// The path of a key of the table.
    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// The unparsed value of a key of the table. The key counts as read from now on.
    fn value(&self, key: &str) -> Option<&'d Spanned<DeValue<'t>>> {
        self.document.record_read(self.path_of(key));
        self.table.get(key)
    }
}
