//! Parses a JSON document into a tree whose nodes have positions.

use std::io::Read;

use json_comments::StripComments;
use serde::de::IgnoredAny;

use super::fault::{FaultList, SourcePosition};

/// One value of a document, with its position and path.
#[derive(Debug)]
pub(crate) struct DocumentNode {
    pub position: SourcePosition,
    pub path: String,
    /// The value's text, which is valid JSON.
    pub text: String,
    pub content: NodeContent,
}

/// The content of a value.
#[derive(Debug)]
pub(crate) enum NodeContent {
    Object(Vec<ObjectEntry>),
    List(Vec<DocumentNode>),
    Scalar,
}

/// One field of an object.
#[derive(Debug)]
pub(crate) struct ObjectEntry {
    pub name: String,
    pub position: SourcePosition,
    pub value: DocumentNode,
}

/// Parses `text` into a tree; adds syntax errors and repeated fields to
/// `faults`.
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
        // The parser reports column 0 at the start of a line.
        let (line, column) = (error.line().max(1), error.column().max(1));
        let position = SourcePosition { line, column };
        faults.add(position, "", format!("no valid JSON: {error}"));
        return None;
    }
    let mut scanner =
        TreeScanner { text: &stripped, offset: 0, position: start };
    Some(scanner.value(String::new(), faults))
}

/// Replaces comments with spaces, so that all positions stay the same.
///
/// The library also replaces the line ends inside block comments, so faults
/// below such a comment would be reported with too low a line number. The
/// lengths are equal, so the line ends are restored from the original.
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

/// Scans a text that `serde_json` has validated, so it needs no checks.
struct TreeScanner<'a> {
    text: &'a str,
    offset: usize,
    position: SourcePosition,
}

impl TreeScanner<'_> {
    fn peek(&self) -> u8 {
        self.text.as_bytes().get(self.offset).copied().unwrap_or(0)
    }

    fn step(&mut self) {
        if self.peek() == b'\n' {
            self.position.line += 1;
            self.position.column = 0;
        }
        self.position.column += 1;
        self.offset += 1;
    }

    fn skip_whitespace(&mut self) {
        while self.peek().is_ascii_whitespace() {
            self.step();
        }
    }

    /// Skips one separator, `,` or `:`, if it is next.
    fn skip_separator(&mut self) {
        self.skip_whitespace();
        if matches!(self.peek(), b',' | b':') {
            self.step();
        }
        self.skip_whitespace();
    }

    fn value(&mut self, path: String, faults: &mut FaultList) -> DocumentNode {
        self.skip_whitespace();
        let position = self.position;
        let start = self.offset;
        let content = match self.peek() {
            b'{' => NodeContent::Object(self.object(&path, faults)),
            b'[' => NodeContent::List(self.list(&path, faults)),
            _ => self.scalar(),
        };
        let text = self.text.get(start..self.offset).unwrap_or("").to_owned();
        DocumentNode { position, path, text, content }
    }

    fn object(
        &mut self,
        path: &str,
        faults: &mut FaultList,
    ) -> Vec<ObjectEntry> {
        let mut entries = Vec::<ObjectEntry>::new();
        self.step();
        self.skip_whitespace();
        while !matches!(self.peek(), b'}' | 0) {
            let position = self.position;
            let name = self.field_name();
            let child_path = join_path(path, &name);
            self.skip_separator();
            if entries.iter().any(|entry| entry.name == name) {
                faults.add(position, &child_path, "this field stands twice");
            }
            let value = self.value(child_path, faults);
            entries.push(ObjectEntry { name, position, value });
            self.skip_separator();
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
        self.skip_whitespace();
        while !matches!(self.peek(), b']' | 0) {
            let child_path = format!("{path}[{}]", items.len());
            items.push(self.value(child_path, faults));
            self.skip_separator();
        }
        self.step();
        items
    }

    fn field_name(&mut self) -> String {
        let start = self.offset;
        self.scalar();
        let text = self.text.get(start..self.offset).unwrap_or("");
        serde_json::from_str(text).unwrap_or_default()
    }

    fn scalar(&mut self) -> NodeContent {
        if self.peek() == b'"' {
            self.quoted_string();
        } else {
            while !matches!(self.peek(), b',' | b'}' | b']' | 0)
                && !self.peek().is_ascii_whitespace()
            {
                self.step();
            }
        }
        NodeContent::Scalar
    }

    fn quoted_string(&mut self) {
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
