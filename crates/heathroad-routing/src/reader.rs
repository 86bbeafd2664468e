//! Reading a TOML file with lines, so that everything that is wrong with it is told at once: what
//! files of routes and of expectations have in common. A [`Section`] is asked for each of its
//! fields; those that nobody asked for are unknown.

use crate::fault::{Fault, Faults};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Most bytes of a file.
pub const MAX_BYTES: usize = 16 << 20;

/// Reads a file's text by a function that is given its outermost table. `file` is its name in
/// messages.
pub fn read<T>(
    file: &str,
    text: &str,
    form: impl for<'a> FnOnce(&'a Lines<'a>, &Section<'a, '_>) -> T,
) -> Result<T, Faults> {
    let ends = text
        .bytes()
        .enumerate()
        .filter(|(_, b)| *b == b'\n')
        .map(|(at, _)| at)
        .collect();
    let lines = Lines {
        text,
        ends,
        list: RefCell::default(),
    };
    let read = lines.parse(form);
    let mut list = lines.list.into_inner();
    if list.is_empty()
        && let Some(read) = read
    {
        return Ok(read);
    }
    list.sort();
    list.dedup();
    Err(Faults {
        file: file.to_string(),
        list,
    })
}

/// A file's text, and what was found to be wrong with it so far.
pub struct Lines<'a> {
    text: &'a str,
    /// Where lines end.
    ends: Vec<usize>,
    list: RefCell<Vec<Fault>>,
}

/// A table of the file, and which of its fields were asked for.
pub struct Section<'a, 't> {
    /// The file that it is part of.
    pub lines: &'a Lines<'a>,
    table: &'t DeTable<'t>,
    /// Where it starts.
    pub at: usize,
    path: String,
    known: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Lines<'a> {
    /// The line of a place, from 1.
    pub fn line(&self, at: usize) -> usize {
        1 + self.ends.partition_point(|end| *end < at)
    }

    /// Where a line starts.
    pub fn start(&self, line: usize) -> usize {
        line.checked_sub(2)
            .and_then(|l| self.ends.get(l))
            .map_or(0, |end| end + 1)
    }

    /// Something is wrong at a place.
    pub fn fault(
        &self,
        at: usize,
        field: impl Into<String>,
        reason: impl Into<String>,
        expected: impl Into<String>,
    ) {
        let line = self.line(at);
        let (field, reason, expected) = (field.into(), reason.into(), expected.into());
        self.list.borrow_mut().push(Fault {
            line,
            field,
            reason,
            expected,
        });
    }

    fn parse<T>(
        &self,
        form: impl for<'b> FnOnce(&'b Lines<'b>, &Section<'b, '_>) -> T,
    ) -> Option<T> {
        if self.text.len() > MAX_BYTES {
            self.fault(
                0,
                "file",
                format!("{} bytes", self.text.len()),
                format!("{MAX_BYTES} at most"),
            );
            return None;
        }
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for e in errors {
            let at = e.span().map_or(0, |s| s.start);
            self.fault(at, "file", e.message().replace('\n', " "), "TOML 1.0");
        }
        if !self.list.borrow().is_empty() {
            return None;
        }
        let root = self.section(table.get_ref(), 0, String::new());
        let read = form(self, &root);
        root.end();
        Some(read)
    }

    /// A table that starts at a place; `path` is its field.
    pub fn section<'t>(
        &'a self,
        table: &'t DeTable<'t>,
        at: usize,
        path: String,
    ) -> Section<'a, 't> {
        Section {
            lines: self,
            table,
            at,
            path,
            known: RefCell::default(),
        }
    }
}

impl<'a, 't> Section<'a, 't> {
    /// A field, as a path.
    pub fn field(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_string()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// A field's value is wrong.
    pub fn wrong(
        &self,
        value: &Spanned<DeValue<'_>>,
        name: &str,
        reason: impl Into<String>,
        expected: &str,
    ) {
        self.lines
            .fault(value.span().start, self.field(name), reason, expected);
    }

    /// A field's value.
    pub fn get(&self, name: &'static str) -> Option<&'t Spanned<DeValue<'t>>> {
        self.known.borrow_mut().insert(name);
        self.table
            .iter()
            .find(|(k, _)| k.get_ref().as_ref() == name)
            .map(|(_, v)| v)
    }

    /// Every field that nobody asked for is unknown.
    pub fn end(&self) {
        let known = self.known.borrow();
        for (key, _) in self
            .table
            .iter()
            .filter(|(k, _)| !known.contains(k.get_ref().as_ref()))
        {
            let list: Vec<&str> = known.iter().copied().collect();
            let field = self.field(key.get_ref());
            self.lines.fault(
                key.span().start,
                field,
                "unknown field",
                format!("one of {}", list.join(", ")),
            );
        }
    }

    /// A field is missing.
    pub fn missing(&self, name: &str, expected: &str) {
        self.lines
            .fault(self.at, self.field(name), "is missing", expected);
    }

    /// A text that is not empty.
    pub fn text(&self, name: &'static str) -> Option<String> {
        let value = self.get(name)?;
        match value.get_ref().as_str() {
            Some(text) if !text.is_empty() => Some(text.to_string()),
            _ => {
                self.wrong(
                    value,
                    name,
                    format!("is {}", kind(value.get_ref())),
                    "a text that is not empty",
                );
                None
            }
        }
    }

    /// A list of texts, each once.
    pub fn texts(&self, name: &'static str) -> Vec<String> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.wrong(
                value,
                name,
                format!("is {}", kind(value.get_ref())),
                "a list of texts",
            );
            return Vec::new();
        };
        let mut texts: Vec<String> = Vec::new();
        for item in array {
            match item.get_ref().as_str() {
                Some(text) if texts.iter().any(|t| t == text) => {
                    self.wrong(item, name, format!("{text:?} comes twice"), "each once");
                }
                Some(text) if !text.is_empty() => texts.push(text.to_string()),
                _ => self.wrong(
                    item,
                    name,
                    format!("holds {}", kind(item.get_ref())),
                    "texts that are not empty",
                ),
            }
        }
        texts
    }

    /// A number within bounds, both included.
    pub fn number(&self, name: &'static str, low: f64, high: f64) -> Option<f64> {
        let value = self.get(name)?;
        let number = match value.get_ref() {
            DeValue::Integer(i) => i64::from_str_radix(i.as_str(), i.radix())
                .ok()
                .map(|i| i as f64),
            DeValue::Float(f) => f.as_str().parse().ok(),
            _ => None,
        };
        match number {
            Some(x) if x >= low && x <= high => Some(x),
            Some(x) => {
                self.wrong(
                    value,
                    name,
                    format!("is {x}"),
                    &format!("a number from {low} to {high}"),
                );
                None
            }
            None => {
                let expected = format!("a number from {low} to {high}");
                self.wrong(
                    value,
                    name,
                    format!("is {}", kind(value.get_ref())),
                    &expected,
                );
                None
            }
        }
    }

    /// A number that must be there.
    pub fn must(&self, name: &'static str, low: f64, high: f64) -> f64 {
        if self.get(name).is_none() {
            self.missing(name, &format!("a number from {low} to {high}"));
        }
        self.number(name, low, high).unwrap_or(low)
    }

    /// A whole number within bounds.
    pub fn whole(&self, name: &'static str, low: u32, high: u32) -> Option<u32> {
        let x = self.number(name, f64::from(low), f64::from(high))?;
        if x.fract() != 0.0
            && let Some(value) = self.get(name)
        {
            self.wrong(value, name, format!("is {x}"), "a whole number");
        }
        Some(x as u32)
    }

    /// A list of tables, so many at the most.
    pub fn sections(&self, name: &'static str, most: usize) -> Vec<Section<'a, 't>> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.wrong(
                value,
                name,
                format!("is {}", kind(value.get_ref())),
                "a list of tables",
            );
            return Vec::new();
        };
        if array.len() > most {
            self.wrong(
                value,
                name,
                format!("has {} entries", array.len()),
                &format!("{most} at most"),
            );
            return Vec::new();
        }
        let mut sections = Vec::new();
        for (i, item) in array.iter().enumerate() {
            match item.get_ref().as_table() {
                Some(table) => {
                    let path = format!("{}[{i}]", self.field(name));
                    sections.push(self.lines.section(table, item.span().start, path));
                }
                None => self.wrong(
                    item,
                    name,
                    format!("holds {}", kind(item.get_ref())),
                    "tables",
                ),
            }
        }
        sections
    }

    /// A table.
    pub fn table(&self, name: &'static str) -> Option<Section<'a, 't>> {
        let value = self.get(name)?;
        let Some(table) = value.get_ref().as_table() else {
            self.wrong(
                value,
                name,
                format!("is {}", kind(value.get_ref())),
                "a table",
            );
            return None;
        };
        Some(
            self.lines
                .section(table, value.span().start, self.field(name)),
        )
    }

    /// True or false.
    pub fn flag(&self, name: &'static str) -> Option<bool> {
        let value = self.get(name)?;
        let flag = value.get_ref().as_bool();
        if flag.is_none() {
            self.wrong(
                value,
                name,
                format!("is {}", kind(value.get_ref())),
                "true or false",
            );
        }
        flag
    }

    /// A list of items, each read by a function; what it can't read is told with what was expected.
    pub fn items<T>(
        &self,
        name: &'static str,
        expected: &str,
        read: impl Fn(&DeValue<'_>) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.wrong(
                value,
                name,
                format!("is {}", kind(value.get_ref())),
                expected,
            );
            return Vec::new();
        };
        let mut items = Vec::new();
        for item in array {
            match read(item.get_ref()) {
                Some(read) => items.push(read),
                None => self.wrong(
                    item,
                    name,
                    format!("holds {}", kind(item.get_ref())),
                    expected,
                ),
            }
        }
        items
    }

    /// One of some words; the first one where there is none.
    pub fn choice<T: Copy>(&self, name: &'static str, words: &[(&str, T)], expected: &str) -> T {
        let text = self.text(name);
        let chosen = text
            .as_deref()
            .map(|t| words.iter().find(|(word, _)| *word == t));
        if let (Some(None), Some(other)) = (chosen, &text) {
            self.lines
                .fault(self.at, self.field(name), format!("is {other:?}"), expected);
        }
        chosen.flatten().unwrap_or(&words[0]).1
    }

    /// A name that is nobody else's.
    pub fn name(&self, seen: &mut BTreeMap<String, usize>) -> String {
        let Some(name) = self.text("name") else {
            if self.get("name").is_none() {
                self.missing("name", "a text that is not empty");
            }
            return String::new();
        };
        let line = self.lines.line(self.at);
        if let Some(first) = seen.insert(name.clone(), line) {
            let reason = format!("{name:?} is a name of line {first} too");
            self.lines
                .fault(self.at, self.field("name"), reason, "a name of its own");
        }
        name
    }

    /// An address and port.
    pub fn address(&self, value: &Spanned<DeValue<'_>>, name: &str) -> Option<SocketAddr> {
        let text = value.get_ref().as_str();
        let address = text.and_then(|t| t.parse().ok());
        if address.is_none() {
            let is = text.map_or_else(|| kind(value.get_ref()).to_string(), |t| format!("{t:?}"));
            self.wrong(
                value,
                name,
                format!("is {is}"),
                "an address and port, such as 10.1.0.18:9000",
            );
        }
        address
    }
}

/// What a value is, in words.
pub fn kind(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(s) if s.is_empty() => "an empty text",
        DeValue::String(_) => "a text",
        DeValue::Integer(_) | DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}
