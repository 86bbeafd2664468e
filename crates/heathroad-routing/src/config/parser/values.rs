//! Typed access to the values of a section. A value of the wrong type or out of range is reported
//! and treated as absent, so that the rest of the document is still checked.

use super::Section;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use toml::Spanned;
use toml::de::{DeArray, DeValue};

impl<'a, 't> Section<'a, 't> {
    /// Reads a non-empty string.
    pub fn string(&self, key: &'static str) -> Option<String> {
        let value = self.value(key)?;
        match value.get_ref().as_str() {
            Some(text) if !text.is_empty() => Some(text.to_string()),
            _ => {
                self.report_kind(value, key, "a text that is not empty");
                None
            }
        }
    }

    /// Reads a list of distinct strings.
    pub fn string_list(&self, key: &'static str) -> Vec<String> {
        let mut strings: Vec<String> = Vec::new();
        for item in self.array(key, "a list of texts").into_iter().flatten() {
            match item.get_ref().as_str() {
                Some(text) if strings.iter().any(|t| t == text) => {
                    self.report_value(
                        item,
                        key,
                        format!("{text:?} is listed twice"),
                        "each string once",
                    );
                }
                Some(text) if !text.is_empty() => strings.push(text.to_string()),
                _ => self.report_item_kind(item, key, "texts that are not empty"),
            }
        }
        strings
    }

    /// Reads a number from `low` to `high`, inclusive.
    pub fn number(&self, key: &'static str, low: f64, high: f64) -> Option<f64> {
        let value = self.value(key)?;
        let number = match value.get_ref() {
            DeValue::Integer(i) => {
                let integer = i64::from_str_radix(i.as_str(), i.radix()).ok();
                integer.map(|i| i as f64)
            }
            DeValue::Float(f) => f.as_str().parse().ok(),
            _ => None,
        };
        let expected = format!("a number from {low} to {high}");
        match number {
            Some(x) if x >= low && x <= high => return Some(x),
            Some(x) => self.report_value(value, key, format!("is {x}"), &expected),
            None => self.report_kind(value, key, &expected),
        }
        None
    }

    /// Reads a required number. Returns `low` if it is absent or invalid.
    pub fn required_number(&self, key: &'static str, low: f64, high: f64) -> f64 {
        if !self.has(key) {
            self.report_missing(key, &format!("a number from {low} to {high}"));
        }
        self.number(key, low, high).unwrap_or(low)
    }

    /// Reads an integer from `low` to `high`, inclusive.
    pub fn integer(&self, key: &'static str, low: u32, high: u32) -> Option<u32> {
        let number = self.number(key, f64::from(low), f64::from(high))?;
        if number.fract() != 0.0
            && let Some(value) = self.value(key)
        {
            self.report_value(value, key, format!("is {number}"), "a whole number");
        }
        Some(number as u32)
    }

    /// Reads a boolean.
    pub fn boolean(&self, key: &'static str) -> Option<bool> {
        let value = self.value(key)?;
        let boolean = value.get_ref().as_bool();
        if boolean.is_none() {
            self.report_kind(value, key, "true or false");
        }
        boolean
    }

    /// Reads a table.
    pub fn table(&self, key: &'static str) -> Option<Section<'a, 't>> {
        let value = self.value(key)?;
        match value.get_ref().as_table() {
            Some(table) => Some(self.child(table, value.span().start, self.field(key))),
            None => {
                self.report_kind(value, key, "a table");
                None
            }
        }
    }

    /// Reads a list of at most `max_count` tables.
    pub fn tables(&self, key: &'static str, max_count: usize) -> Vec<Section<'a, 't>> {
        let Some(array) = self.array(key, "a list of tables") else {
            return Vec::new();
        };
        if let Some(value) = self.value(key).filter(|_| array.len() > max_count) {
            let reason = format!("has {} entries", array.len());
            self.report_value(value, key, reason, &format!("at most {max_count}"));
            return Vec::new();
        }
        let mut sections = Vec::new();
        for (index, item) in array.iter().enumerate() {
            match item.get_ref().as_table() {
                Some(table) => {
                    let path = format!("{}[{index}]", self.field(key));
                    sections.push(self.child(table, item.span().start, path));
                }
                None => self.report_item_kind(item, key, "tables"),
            }
        }
        sections
    }

    /// Reads a list and converts its items. Reports the items for which `convert` returns `None`.
    pub fn list<T>(
        &self,
        key: &'static str,
        expected: &str,
        convert: impl Fn(&DeValue<'_>) -> Option<T>,
    ) -> Vec<T> {
        let mut converted = Vec::new();
        for item in self.array(key, expected).into_iter().flatten() {
            match convert(item.get_ref()) {
                Some(value) => converted.push(value),
                None => self.report_item_kind(item, key, expected),
            }
        }
        converted
    }

    /// Reads one of several words. Returns the value of the first word if the key is absent or
    /// invalid.
    pub fn choice<T: Copy>(&self, key: &'static str, words: &[(&str, T)], expected: &str) -> T {
        let default = words[0].1;
        let Some(text) = self.string(key) else {
            return default;
        };
        match words.iter().find(|(word, _)| *word == text) {
            Some((_, value)) => *value,
            None => {
                self.report(key, format!("is {text:?}"), expected);
                default
            }
        }
    }

    /// Reads the required key `name`. `lines_by_name` holds the names read so far, which must
    /// differ, and their lines.
    pub fn unique_name(&self, lines_by_name: &mut BTreeMap<String, usize>) -> String {
        let Some(name) = self.string("name") else {
            if !self.has("name") {
                self.report_missing("name", "a text that is not empty");
            }
            return String::new();
        };
        let line = self.document.line_at(self.offset);
        if let Some(first) = lines_by_name.insert(name.clone(), line) {
            let reason = format!("{name:?} is already used on line {first}");
            self.report("name", reason, "a name of its own");
        }
        name
    }

    /// Reads a required socket address.
    pub fn required_address(&self, key: &'static str) -> Option<SocketAddr> {
        let value = self.value(key);
        if value.is_none() {
            self.report_missing(key, "an address and port");
        }
        self.parse_address(value?, key)
    }

    /// Parses a value as a socket address.
    pub fn parse_address(&self, value: &Spanned<DeValue<'_>>, key: &str) -> Option<SocketAddr> {
        let text = value.get_ref().as_str();
        let address = text.and_then(|t| t.parse().ok());
        if address.is_none() {
            let kind = describe_kind(value.get_ref());
            let found = text.map_or_else(|| kind.to_string(), |t| format!("{t:?}"));
            let expected = "an address and port, such as 10.1.0.18:9000";
            self.report_value(value, key, format!("is {found}"), expected);
        }
        address
    }

    fn array(&self, key: &'static str, expected: &str) -> Option<&'t DeArray<'t>> {
        let value = self.value(key)?;
        let array = value.get_ref().as_array();
        if array.is_none() {
            self.report_kind(value, key, expected);
        }
        array
    }
}

/// Describes the type of a value for an error message.
pub fn describe_kind(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(s) if s.is_empty() => "an empty text",
        DeValue::String(_) => "a text",
        DeValue::Integer(_) | DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}
