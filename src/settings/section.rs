//! Reading of one JSON object that collects every fault.

use std::fs;
use std::ops::RangeInclusive;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

use super::SettingsError;
use super::SettingsFault;

/// One JSON object of a settings file. Each field is taken by name; what is
/// left when the section is closed is unknown and so a fault.
#[derive(Debug)]
pub struct Section {
    path: String,
    fields: Map<String, Value>,
    faults: Vec<SettingsFault>,
}

impl Section {
    /// Reads a whole file's settings.
    ///
    /// # Errors
    ///
    /// Fields are faulty; all faults are returned.
    pub fn read_whole<T>(
        value: Value,
        read: impl FnOnce(&mut Section) -> T,
    ) -> Result<T, SettingsError> {
        let mut section = Self::new("", value);
        let settings = read(&mut section);
        let faults = section.close();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Faulty(faults))
        }
    }

    /// Opens the object at `path`; a value that is no object is a fault.
    pub fn new(path: &str, value: Value) -> Self {
        let mut section = Self {
            path: path.into(),
            fields: Map::new(),
            faults: Vec::new(),
        };
        match value {
            Value::Object(fields) => section.fields = fields,
            _ => section.faults.push(SettingsFault {
                path: path.into(),
                problem: "must be an object".into(),
            }),
        }
        section
    }

    /// Takes a field that has a default.
    pub fn take<T: DeserializeOwned>(&mut self, name: &str, default: T) -> T {
        match self.fields.remove(name) {
            None => default,
            Some(value) => self.parse(name, value).unwrap_or(default),
        }
    }

    /// Takes a field that may be left out.
    pub fn take_optional<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let value = self.fields.remove(name)?;
        self.parse(name, value)
    }

    /// Takes a field that must be there; `stand_in` is returned besides the
    /// fault where it is not.
    pub fn take_required<T: DeserializeOwned>(&mut self, name: &str, stand_in: T) -> T {
        match self.fields.remove(name) {
            Some(value) => self.parse(name, value).unwrap_or(stand_in),
            None => {
                self.fault(name, "is required");
                stand_in
            }
        }
    }

    /// Takes a whole number with a default, within a range.
    pub fn take_number(&mut self, name: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let number = self.take(name, default);
        if !range.contains(&number) {
            let problem = format!("must be from {} to {}", range.start(), range.end());
            self.fault(name, &problem);
        }
        number
    }

    /// Takes a size in bytes with a default, within a range.
    pub fn take_size(&mut self, name: &str, default: u64, range: RangeInclusive<u64>) -> usize {
        let size = self.take_number(name, default, range);
        usize::try_from(size).unwrap_or(usize::MAX)
    }

    /// Takes an inner object; an empty one where it is left out.
    pub fn take_section<T>(&mut self, name: &str, read: impl FnOnce(&mut Section) -> T) -> T {
        let value = self.fields.remove(name);
        let value = value.unwrap_or_else(|| Value::Object(Map::new()));
        self.read_inner(name, value, read)
    }

    /// Takes a list of inner objects; an empty one where it is left out.
    pub fn take_list<T>(&mut self, name: &str, read: impl Fn(&mut Section) -> T) -> Vec<T> {
        let values: Vec<Value> = self.take(name, Vec::new());
        let mut items = Vec::with_capacity(values.len());
        for (index, value) in values.into_iter().enumerate() {
            items.push(self.read_inner(&format!("{name}[{index}]"), value, &read));
        }
        items
    }

    /// Records a fault of a field.
    pub fn fault(&mut self, name: &str, problem: &str) {
        self.faults.push(SettingsFault {
            path: self.path_of(name),
            problem: problem.into(),
        });
    }

    /// Closes the section and returns its faults, unknown fields included.
    pub fn close(mut self) -> Vec<SettingsFault> {
        let unknown: Vec<String> = self.fields.keys().cloned().collect();
        for name in unknown {
            self.fault(&name, "is not a known field");
        }
        self.faults
    }

    fn read_inner<T>(
        &mut self,
        name: &str,
        value: Value,
        read: impl FnOnce(&mut Section) -> T,
    ) -> T {
        let mut inner = Section::new(&self.path_of(name), value);
        let item = read(&mut inner);
        self.faults.extend(inner.close());
        item
    }

    fn parse<T: DeserializeOwned>(&mut self, name: &str, value: Value) -> Option<T> {
        match serde_json::from_value(value) {
            Ok(parsed) => Some(parsed),
            Err(e) => {
                self.fault(name, &e.to_string());
                None
            }
        }
    }

    fn path_of(&self, name: &str) -> String {
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
    serde_json::from_str(&text).map_err(|e| SettingsError::NotJson(e.to_string()))
}
