//! A JSON document as a tree whose nodes know where they stand.

use std::io::Read;

use json_comments::StripComments;
use serde::de::IgnoredAny;

use super::fault::{FaultList, SourcePosition};

/// One value of a document, with its place and path.
#[derive(Debug)]
pub(crate) struct DocumentNode {
    pub position: SourcePosition,
    pub path: String,
    /// The value's own text, valid JSON.
    pub text: String,
    pub content: NodeContent,
}

/// What a value is made of.
#[derive(Debug)]
pub(crate) enum NodeContent {
    Table(Vec<TableEntry>),
    List(Vec<DocumentNode>),
    Scalar,
}

/// One field of a table.
#[derive(Debug)]
pub(crate) struct TableEntry {
    pub name: String,
    pub position: SourcePosition,
    pub value: DocumentNode,
}

/// Makes `text` a tree; syntax faults and repeated fields go to `faults`.
pub(crate) fn open_document(
    text: &str,
    faults: &mut FaultList,
) -> Option<DocumentNode> {
    let start = SourcePosition { line: 1, column: 1 };
    let stripped = match strip_comments(text) {
        Ok(stripped) => stripped,
        Err(error) => {
            let message = format!("not a text with comments: {error}");
            faults.add(start, "", message);
            return None;
        }
    };
    if let Err(error) = serde_json::from_str::<IgnoredAny>(&stripped) {
        // The parser counts columns from 0 at a line's very beginning.
        let (line, column) = (error.line().max(1), error.column().max(1));
        let place = SourcePosition { line, column };
        faults.add(place, "", format!("no valid JSON: {error}"));
        return None;
    }
    let mut scanner = TreeScanner { text: &stripped, at: 0, place: start };
    Some(scanner.value(String::new(), faults))
}

/// Puts spaces in place of comments, so that every place stays the same.
///
/// The library blanks the line ends inside block comments too, and all
/// faults below such a comment would be told some lines too high; the
/// lengths agree, so the line ends are put back from the original.
fn strip_comments(text: &str) -> std::io::Result<String> {
    let mut stripped = Vec::with_capacity(text.len());
    StripComments::new(text.as_bytes()).read_to_end(&mut stripped)?;
    for (blank, original) in stripped.iter_mut().zip(text.bytes()) {
        if *blank == b' ' && original == b'\n' {
            *blank = b'\n';
        }
    }
    String::from_utf8(stripped).map_err(std::io::Error::other)
}

/// Walks a text that `serde_json` has found valid, so it needs no checks.
struct TreeScanner<'a> {
    text: &'a str,
    at: usize,
    place: SourcePosition,
}

impl TreeScanner<'_> {
    fn peek(&self) -> u8 {
        self.text.as_bytes().get(self.at).copied().unwrap_or(0)
    }

    fn step(&mut self) {
        if self.peek() == b'\n' {
            self.place.line += 1;
            self.place.column = 0;
        }
        self.place.column += 1;
        self.at += 1;
    }

    fn skip_space(&mut self) {
        while self.peek().is_ascii_whitespace() {
            self.step();
        }
    }

    /// Skips one separator, `,` or `:`, if it is next.
    fn skip_mark(&mut self) {
        self.skip_space();
        if matches!(self.peek(), b',' | b':') {
            self.step();
        }
        self.skip_space();
    }

    fn value(&mut self, path: String, faults: &mut FaultList) -> DocumentNode {
        self.skip_space();
        let position = self.place;
        let start = self.at;
        let content = match self.peek() {
            b'{' => NodeContent::Table(self.table(&path, faults)),
            b'[' => NodeContent::List(self.list(&path, faults)),
            _ => self.scalar(),
        };
        let text = self.text.get(start..self.at).unwrap_or("").to_owned();
        DocumentNode { position, path, text, content }
    }

    fn table(
        &mut self,
        path: &str,
        faults: &mut FaultList,
    ) -> Vec<TableEntry> {
        let mut entries = Vec::<TableEntry>::new();
        self.step();
        self.skip_space();
        while !matches!(self.peek(), b'}' | 0) {
            let position = self.place;
            let name = self.field_name();
            let below = join_path(path, &name);
            self.skip_mark();
            if entries.iter().any(|entry| entry.name == name) {
                faults.add(position, &below, "this field stands twice");
            }
            let value = self.value(below, faults);
            entries.push(TableEntry { name, position, value });
            self.skip_mark();
        }
        self.step();
        entries
    }

    fn list(
        &mut self,
        path: &str,
        faults: &mut FaultList,
    ) -> Vec<DocumentNode> {
        let mut items = Vec::new();
        self.step();
        self.skip_space();
        while !matches!(self.peek(), b']' | 0) {
            let below = format!("{path}[{}]", items.len());
            items.push(self.value(below, faults));
            self.skip_mark();
        }
        self.step();
        items
    }

    fn field_name(&mut self) -> String {
        let start = self.at;
        self.scalar();
        let text = self.text.get(start..self.at).unwrap_or("");
        serde_json::from_str(text).unwrap_or_default()
    }

    fn scalar(&mut self) -> NodeContent {
        if self.peek() == b'"' {
            self.quoted();
        } else {
            while !matches!(self.peek(), b',' | b'}' | b']' | 0)
                && !self.peek().is_ascii_whitespace()
            {
                self.step();
            }
        }
        NodeContent::Scalar
    }

    fn quoted(&mut self) {
        self.step();
        while !matches!(self.peek(), b'"' | 0) {
            if self.peek() == b'\\' {
                self.step();
            }
            self.step();
        }
        self.step();
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}
