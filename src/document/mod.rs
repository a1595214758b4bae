//! Parses JSON5 to a tree in which every value has its position, with typed readers that collect all faults
//! of a file instead of stopping at the first. The subsystems read their sections of the operators' file with
//! it.
//!
//! The syntax is that of `jsonc-parser`: JSON5 with comments, trailing commas, unquoted names, single quotes,
//! hex numbers.

mod fault;
mod read;

pub use fault::{Fault, Faults, Position, Text};
pub use read::{Item, Section, Sink};

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{parse_to_ast, CollectOptions, ParseOptions};
use std::io::Read;
use std::ops::Range;
use std::path::Path;

/// Bytes. The largest operators' file: 10,000 routes fit with a margin.
pub const MAX_BYTES: u64 = 4 * 1024 * 1024;

/// A value and its range in the text.
#[derive(Clone, Debug)]
pub struct Value {
    /// The range of bytes in the text.
    pub span: Range<usize>,
    /// The value by its kind.
    pub kind: Kind,
}

/// The kinds of values.
#[derive(Clone, Debug)]
pub enum Kind {
    /// `null`.
    Null,
    /// A boolean.
    Flag(bool),
    /// A number; infinite if it is written as infinity or is too large for the format.
    Number(f64),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Value>),
    /// An object, in the order of the text.
    Table(Vec<Member>),
}

/// A member of an object: name and value.
#[derive(Clone, Debug)]
pub struct Member {
    /// The range of the name in bytes of the text.
    pub span: Range<usize>,
    /// The name.
    pub name: String,
    /// The value.
    pub value: Value,
}

impl Kind {
    /// The name of the kind, for messages.
    pub fn kind_name(&self) -> &'static str {
        match self {
            Kind::Null => "null",
            Kind::Flag(_) => "true or false",
            Kind::Number(_) => "a number",
            Kind::Text(_) => "a string",
            Kind::List(_) => "a list",
            Kind::Table(_) => "an object",
        }
    }
}

/// Reads a file of at most [`MAX_BYTES`].
///
/// # Errors
/// A single fault: the file cannot be read, is not a regular file, is too large, or is not UTF-8. The last
/// has the position of the first invalid byte.
pub fn load(path: &Path) -> Result<Text, Faults> {
    let name = path.display().to_string();
    let file_fault = |what: String| Faults::of_file(&name, what);
    let file = std::fs::File::open(path).map_err(|e| file_fault(format!("cannot be read: {e}")))?;
    let kind = file.metadata().map_err(|e| file_fault(format!("cannot be read: {e}")))?;
    if !kind.is_file() {
        return Err(file_fault(if kind.is_dir() { "is a folder" } else { "is not a regular file" }.into()));
    }
    let mut bytes = Vec::new();
    let read = file.take(MAX_BYTES + 1).read_to_end(&mut bytes);
    read.map_err(|e| file_fault(format!("cannot be read: {e}")))?;
    if bytes.len() as u64 > MAX_BYTES {
        return Err(file_fault(format!("is larger than {MAX_BYTES} bytes")));
    }
    match String::from_utf8(bytes) {
        Ok(text) => Ok(Text::new(name, text)),
        Err(error) => {
            let valid = error.utf8_error().valid_up_to();
            let text = String::from_utf8_lossy(&error.into_bytes()[..valid]).into_owned();
            let fault = Fault::new(valid..valid, "", "is not UTF-8 from here on".into());
            Err(Faults::new(&Text::new(name, text), vec![fault]))
        }
    }
}

/// Parses a text to its tree.
///
/// # Errors
/// A single fault: the text is not valid JSON5, or it is not an object.
pub fn parse(text: &Text) -> Result<Value, Faults> {
    let options = ParseOptions { allow_missing_commas: false, ..ParseOptions::default() };
    let parsed = parse_to_ast(text.text(), &CollectOptions::default(), &options);
    let single_fault = |span: Range<usize>, what: String| Faults::new(text, vec![Fault::new(span, "", what)]);
    let parsed = parsed.map_err(|error| {
        let range = error.range();
        single_fault(
            range.start..range.end,
            format!("is not valid JSON5: {}", lowercase_first(&error.kind().to_string())),
        )
    })?;
    let value =
        parsed.value.ok_or_else(|| single_fault(0..0, "holds nothing; an object is expected".into()))?;
    let value = convert(&value);
    match value.kind {
        Kind::Table(_) => Ok(value),
        ref other => Err(single_fault(
            value.span.clone(),
            format!("holds {}; an object is expected", other.kind_name()),
        )),
    }
}

fn lowercase_first(text: &str) -> String {
    let mut letters = text.chars();
    letters.next().map_or(String::new(), |first| first.to_lowercase().chain(letters).collect())
}

fn parse_number(text: &str) -> f64 {
    let (sign, digits) = match text.as_bytes().first() {
        Some(b'-') => (-1.0, &text[1..]),
        Some(b'+') => (1.0, &text[1..]),
        _ => (1.0, text),
    };
    let hex = digits.strip_prefix("0x").or_else(|| digits.strip_prefix("0X"));
    let read = match hex {
        Some(hex) => u64::from_str_radix(hex, 16).map_or(f64::INFINITY, |n| n as f64),
        None if digits == "NaN" => f64::NAN,
        None if digits == "Infinity" => f64::INFINITY,
        None => digits.parse().unwrap_or(f64::NAN),
    };
    sign * read
}

fn convert(value: &ast::Value<'_>) -> Value {
    let range = value.range();
    let kind = match value {
        ast::Value::NullKeyword(_) => Kind::Null,
        ast::Value::BooleanLit(flag) => Kind::Flag(flag.value),
        ast::Value::NumberLit(written) => Kind::Number(parse_number(written.value)),
        ast::Value::StringLit(text) => Kind::Text(text.value.to_string()),
        ast::Value::Array(list) => Kind::List(list.elements.iter().map(convert).collect()),
        ast::Value::Object(table) => {
            let member = |property: &ast::ObjectProp<'_>| {
                let name = property.name.range();
                Member {
                    span: name.start..name.end,
                    name: property.name.as_str().to_string(),
                    value: convert(&property.value),
                }
            };
            Kind::Table(table.properties.iter().map(member).collect())
        }
    };
    Value { span: range.start..range.end, kind }
}

#[cfg(test)]
mod tests;
