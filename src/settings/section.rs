//! Reader for one JSON object of a settings file that collects every error
//! instead of stopping at the first.

use std::fs;
use std::ops::RangeInclusive;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

use super::FieldError;
use super::SettingsError;

/// One JSON object of a settings file. Fields are taken by name; fields left
/// over at [`Section::finish`] are unknown and count as errors.
#[derive(Debug)]
pub struct Section {
    path: String,
    fields: Map<String, Value>,
    errors: Vec<FieldError>,
}

impl Section {
    /// Reads the outer object of a file with `read` and finishes it.
    ///
    /// # Errors
    ///
    /// Fields are invalid or unknown; all errors are returned.
    pub fn read_root<T>(
        value: Value,
        read: impl FnOnce(&mut Section) -> T,
    ) -> Result<T, SettingsError> {
        let mut section = Self::new("", value);
        let settings = read(&mut section);
        let errors = section.finish();
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::InvalidFields(errors))
        }
    }

    /// Begins the object at `path`. A value of any other type is recorded as an
    /// error and read as an empty object.
    pub fn new(path: &str, value: Value) -> Self {
        let mut section = Self {
            path: path.into(),
            fields: Map::new(),
            errors: Vec::new(),
        };
        match value {
            Value::Object(fields) => section.fields = fields,
            _ => section.errors.push(FieldError {
                path: path.into(),
                problem: "must be an object".into(),
            }),
        }
        section
    }

    /// Takes a field with a default. An invalid value is recorded as an error
    /// and replaced by the default.
    pub fn take<T: DeserializeOwned>(&mut self, name: &str, default: T) -> T {
        match self.fields.remove(name) {
            None => default,
            Some(value) => self.parse(name, value).unwrap_or(default),
        }
    }

    /// Takes a field that may be left out. An invalid value is recorded as an
    /// error.
    pub fn take_optional<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let value = self.fields.remove(name)?;
        self.parse(name, value)
    }

    /// Takes a required field. If it is missing or invalid, records an error and
    /// returns `placeholder`.
    pub fn take_required<T: DeserializeOwned>(&mut self, name: &str, placeholder: T) -> T {
        match self.fields.remove(name) {
            Some(value) => self.parse(name, value).unwrap_or(placeholder),
            None => {
                self.add_error(name, "is required");
                placeholder
            }
        }
    }

    /// Takes a whole number with a default. A number outside the range is
    /// recorded as an error.
    pub fn take_number(&mut self, name: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let number = self.take(name, default);
        if !range.contains(&number) {
            let problem = format!("must be from {} to {}", range.start(), range.end());
            self.add_error(name, &problem);
        }
        number
    }

    /// Takes a size in bytes with a default. A size outside the range is recorded
    /// as an error.
    pub fn take_size(&mut self, name: &str, default: u64, range: RangeInclusive<u64>) -> usize {
        let size = self.take_number(name, default, range);
        usize::try_from(size).unwrap_or(usize::MAX)
    }

    /// Takes a nested object and reads it; a missing one is read as empty.
    pub fn take_section<T>(&mut self, name: &str, read: impl FnOnce(&mut Section) -> T) -> T {
        let value = self.fields.remove(name);
        let value = value.unwrap_or_else(|| Value::Object(Map::new()));
        self.read_nested(name, value, read)
    }

    /// Takes a list of nested objects and reads each; a missing list is read as
    /// empty.
    pub fn take_list<T>(&mut self, name: &str, read: impl Fn(&mut Section) -> T) -> Vec<T> {
        let values: Vec<Value> = self.take(name, Vec::new());
        let mut items = Vec::with_capacity(values.len());
        for (index, value) in values.into_iter().enumerate() {
            items.push(self.read_nested(&format!("{name}[{index}]"), value, &read));
        }
        items
    }

    /// Records an error in the field `name` of this object.
    pub fn add_error(&mut self, name: &str, problem: &str) {
        self.errors.push(FieldError {
            path: self.field_path(name),
            problem: problem.into(),
        });
    }

    /// Ends the reading and returns all errors, one for each unknown field
    /// included.
    pub fn finish(mut self) -> Vec<FieldError> {
        let unknown: Vec<String> = self.fields.keys().cloned().collect();
        for name in unknown {
            self.add_error(&name, "is not a known field");
        }
        self.errors
    }

    fn read_nested<T>(
        &mut self,
        name: &str,
        value: Value,
        read: impl FnOnce(&mut Section) -> T,
    ) -> T {
        let mut inner = Section::new(&self.field_path(name), value);
        let item = read(&mut inner);
        self.errors.extend(inner.finish());
        item
    }

    fn parse<T: DeserializeOwned>(&mut self, name: &str, value: Value) -> Option<T> {
        match serde_json::from_value(value) {
            Ok(parsed) => Some(parsed),
            Err(e) => {
                self.add_error(name, &e.to_string());
                None
            }
        }
    }

    fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.into()
        } else {
            format!("{}.{name}", self.path)
        }
    }
}

/// Reads a JSON file.
pub(super) fn read_json(path: &Path) -> Result<Value, SettingsError> {
    let text = fs::read_to_string(path).map_err(|e| SettingsError::Unreadable(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| SettingsError::InvalidJson(e.to_string()))
}
