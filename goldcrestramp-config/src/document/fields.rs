//! Reads the fields of an object one by one and collects every fault.

use std::{fmt::Display, ops::RangeInclusive};

use serde::de::DeserializeOwned;

use super::{
    fault::{FaultList, SourcePosition},
    tree::{DocumentNode, NodeContent, ObjectEntry},
};

/// Reads one object; a field that was not read is unknown.
#[derive(Debug)]
pub(crate) struct FieldReader<'a> {
    position: SourcePosition,
    path: &'a str,
    entries: &'a [ObjectEntry],
    known: Vec<&'static str>,
}

impl<'a> FieldReader<'a> {
    /// Opens the object at `node`; any other value is a fault.
    pub(crate) fn open(
        node: &'a DocumentNode,
        faults: &mut FaultList,
    ) -> Option<Self> {
        let NodeContent::Object(entries) = &node.content else {
            faults.add(node.position, &node.path, "must be an object");
            return None;
        };
        let known = Vec::new();
        let path = &node.path;
        Some(Self { position: node.position, path, entries, known })
    }

    /// Returns the node of a field, if it is present and not null.
    pub(crate) fn node(
        &mut self,
        name: &'static str,
    ) -> Option<&'a DocumentNode> {
        self.known.push(name);
        let entry = self.entries.iter().find(|entry| entry.name == name)?;
        (entry.value.text != "null").then_some(&entry.value)
    }

    /// Returns the node of a required field.
    pub(crate) fn required_node(
        &mut self,
        name: &'static str,
        faults: &mut FaultList,
    ) -> Option<&'a DocumentNode> {
        let node = self.node(name);
        if node.is_none() {
            let message = format!("the field `{name}` is missing");
            faults.add(self.position, self.path, message);
        }
        node
    }

    /// Reads a required value.
    pub(crate) fn required<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        faults: &mut FaultList,
    ) -> Option<T> {
        let node = self.required_node(name, faults)?;
        parse_value(node, faults)
    }

    /// Reads a value that may be absent; an outer `None` is a fault.
    #[expect(clippy::option_option, reason = "a fault differs from absence")]
    pub(crate) fn optional<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        faults: &mut FaultList,
    ) -> Option<Option<T>> {
        match self.node(name) {
            None => Some(None),
            Some(node) => parse_value(node, faults).map(Some),
        }
    }

    /// Reads a value with a default.
    pub(crate) fn or_default<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        default: T,
        faults: &mut FaultList,
    ) -> Option<T> {
        self.optional(name, faults).map(|value| value.unwrap_or(default))
    }

    /// Reads a number within a range; it is required without a default.
    pub(crate) fn ranged<T>(
        &mut self,
        name: &'static str,
        range: &RangeInclusive<T>,
        default: Option<T>,
        faults: &mut FaultList,
    ) -> Option<T>
    where
        T: DeserializeOwned + PartialOrd + Display,
    {
        let node = match default {
            Some(default) => match self.node(name) {
                None => return Some(default),
                Some(node) => node,
            },
            None => self.required_node(name, faults)?,
        };
        let value = parse_value(node, faults)?;
        if range.contains(&value) {
            return Some(value);
        }
        let (low, high) = (range.start(), range.end());
        let message = format!("{value} is not within {low} to {high}");
        faults.add(node.position, &node.path, message);
        None
    }

    /// Reads the items of a list; an absent list is empty.
    pub(crate) fn list<T>(
        &mut self,
        name: &'static str,
        faults: &mut FaultList,
        read: impl Fn(&DocumentNode, &mut FaultList) -> Option<T>,
    ) -> Vec<T> {
        let Some(node) = self.node(name) else { return Vec::new() };
        let NodeContent::List(items) = &node.content else {
            faults.add(node.position, &node.path, "must be a list");
            return Vec::new();
        };
        items.iter().filter_map(|item| read(item, faults)).collect()
    }

    /// Returns the position of a field's value, or that of the object if the
    /// field is absent.
    pub(crate) fn position(&self, name: &str) -> SourcePosition {
        let entry = self.entries.iter().find(|entry| entry.name == name);
        entry.map_or(self.position, |entry| entry.value.position)
    }

    /// Adds a fault for every field that was not read.
    pub(crate) fn close(self, faults: &mut FaultList) {
        let unknown = self
            .entries
            .iter()
            .filter(|entry| !self.known.contains(&entry.name.as_str()));
        for entry in unknown {
            let message = unknown_field(&entry.name, &self.known);
            faults.add(entry.position, &entry.value.path, message);
        }
    }
}

/// Suggests the field that was probably meant, otherwise lists the known
/// ones.
fn unknown_field(name: &str, known: &[&str]) -> String {
    let close =
        known.iter().find(|k| k.starts_with(name) || name.starts_with(**k));
    close.map_or_else(
        || format!("unknown field; known are {}", known.join(", ")),
        |close| format!("unknown field; is `{close}` meant?"),
    )
}

/// Parses one value with serde; an error becomes a fault at its position.
pub(crate) fn parse_value<T: DeserializeOwned>(
    node: &DocumentNode,
    faults: &mut FaultList,
) -> Option<T> {
    match serde_json::from_str(&node.text) {
        Ok(value) => Some(value),
        Err(error) => {
            let message = error.to_string();
            let message = message.split(" at line ").next().unwrap_or("");
            faults.add(node.position, &node.path, message);
            None
        }
    }
}
