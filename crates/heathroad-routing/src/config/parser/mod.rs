//! A TOML parser that keeps source positions and reports all errors of a document at once.
//!
//! A [`Section`] is one table of the document. Callers request every key that they support;
//! [`Section::reject_unknown_keys`] then reports all other keys.

mod values;

pub use values::describe_kind;

use super::error::{ConfigError, ConfigErrors};
use std::cell::RefCell;
use std::collections::BTreeSet;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// The maximum size of a document in bytes.
pub const MAX_BYTES: usize = 16 << 20;

/// Parses a document with a function that reads its root table.
///
/// `file` is the name of the document in error messages.
///
/// # Errors
///
/// Returns all errors of the document, sorted by line.
pub fn parse_document<T>(
    file: &str,
    text: &str,
    read_root: impl for<'a> FnOnce(&Section<'a, '_>) -> T,
) -> Result<T, ConfigErrors> {
    let document = Document::new(text);
    let value = document.parse(read_root);
    let mut list = document.errors.into_inner();
    if list.is_empty()
        && let Some(value) = value
    {
        return Ok(value);
    }
    list.sort();
    list.dedup();
    Err(ConfigErrors {
        file: file.to_string(),
        list,
    })
}

/// The text of a document and the errors found in it so far.
pub struct Document<'a> {
    text: &'a str,
    /// The byte offsets of the line feeds.
    line_ends: Vec<usize>,
    errors: RefCell<Vec<ConfigError>>,
}

/// One table of a document, which tracks the keys that were requested from it.
pub struct Section<'a, 't> {
    /// The document that the table is part of.
    pub document: &'a Document<'a>,
    /// The byte offset at which the table starts.
    pub offset: usize,
    table: &'t DeTable<'t>,
    path: String,
    known_keys: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Document<'a> {
    fn new(text: &'a str) -> Self {
        let bytes = text.bytes().enumerate();
        Document {
            text,
            line_ends: bytes
                .filter(|(_, b)| *b == b'\n')
                .map(|(offset, _)| offset)
                .collect(),
            errors: RefCell::default(),
        }
    }

    /// Returns the number of the line at a byte offset, counted from 1.
    pub fn line_at(&self, offset: usize) -> usize {
        1 + self.line_ends.partition_point(|end| *end < offset)
    }

    /// Returns the byte offset at which a line starts.
    pub fn line_start(&self, line: usize) -> usize {
        let previous_end = line.checked_sub(2).and_then(|l| self.line_ends.get(l));
        previous_end.map_or(0, |end| end + 1)
    }

    /// Adds an error at a byte offset.
    pub fn report(
        &self,
        offset: usize,
        field: impl Into<String>,
        reason: impl Into<String>,
        expected: impl Into<String>,
    ) {
        self.errors.borrow_mut().push(ConfigError {
            line: self.line_at(offset),
            field: field.into(),
            reason: reason.into(),
            expected: expected.into(),
        });
    }

    fn parse<T>(&self, read_root: impl for<'b> FnOnce(&Section<'b, '_>) -> T) -> Option<T> {
        if self.text.len() > MAX_BYTES {
            let reason = format!("{} bytes", self.text.len());
            self.report(0, "file", reason, format!("at most {MAX_BYTES}"));
            return None;
        }
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            let reason = error.message().replace('\n', " ");
            self.report(offset, "file", reason, "TOML 1.0");
        }
        if !self.errors.borrow().is_empty() {
            return None;
        }
        let root = self.section(table.get_ref(), 0, String::new());
        let value = read_root(&root);
        root.reject_unknown_keys();
        Some(value)
    }

    fn section<'t>(
        &'a self,
        table: &'t DeTable<'t>,
        offset: usize,
        path: String,
    ) -> Section<'a, 't> {
        Section {
            document: self,
            offset,
            table,
            path,
            known_keys: RefCell::default(),
        }
    }
}

impl<'a, 't> Section<'a, 't> {
    /// Returns the path of a key of this section from the document root.
    pub fn field(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Returns the value of a key and marks the key as known.
    pub fn value(&self, key: &'static str) -> Option<&'t Spanned<DeValue<'t>>> {
        self.known_keys.borrow_mut().insert(key);
        let found = self.table.iter().find(|(k, _)| k.get_ref().as_ref() == key);
        found.map(|(_, value)| value)
    }

    /// Returns whether the section has a key, and marks the key as known.
    pub fn has(&self, key: &'static str) -> bool {
        self.value(key).is_some()
    }

    /// Returns a section for a table nested in this one.
    pub fn child(&self, table: &'t DeTable<'t>, offset: usize, path: String) -> Section<'a, 't> {
        self.document.section(table, offset, path)
    }

    /// Adds an error about a key at the position of the section.
    pub fn report(&self, key: &str, reason: impl Into<String>, expected: impl Into<String>) {
        self.document
            .report(self.offset, self.field(key), reason, expected);
    }

    /// Adds an error about a key at the position of its value.
    pub fn report_value(
        &self,
        value: &Spanned<DeValue<'_>>,
        key: &str,
        reason: impl Into<String>,
        expected: &str,
    ) {
        let offset = value.span().start;
        self.document
            .report(offset, self.field(key), reason, expected);
    }

    /// Adds an error about a value of the wrong type.
    pub fn report_kind(&self, value: &Spanned<DeValue<'_>>, key: &str, expected: &str) {
        let reason = format!("is {}", describe_kind(value.get_ref()));
        self.report_value(value, key, reason, expected);
    }

    /// Adds an error about a list item of the wrong type.
    pub fn report_item_kind(&self, item: &Spanned<DeValue<'_>>, key: &str, expected: &str) {
        let reason = format!("contains {}", describe_kind(item.get_ref()));
        self.report_value(item, key, reason, expected);
    }

    /// Adds an error about a missing key.
    pub fn report_missing(&self, key: &str, expected: &str) {
        self.report(key, "is missing", expected);
    }

    /// Adds an error for each key that was not requested from the section.
    pub fn reject_unknown_keys(&self) {
        let known_keys = self.known_keys.borrow();
        let known: Vec<&str> = known_keys.iter().copied().collect();
        let expected = format!("one of {}", known.join(", "));
        for (key, _) in self.table {
            if !known_keys.contains(key.get_ref().as_ref()) {
                let (offset, field) = (key.span().start, self.field(key.get_ref()));
                self.document
                    .report(offset, field, "unknown field", expected.as_str());
            }
        }
    }
}
