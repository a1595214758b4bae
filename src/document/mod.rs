//! A JSON5 text as a tree in which every value knows its place, and typed readers that gather all faults of a file
//! instead of stopping at the first. The sections of the operators' file are read with it by their owners.
//!
//! Syntax is `jsonc-parser`'s: JSON5 with comments, trailing commas, unquoted names, single quotes, hex numbers.

mod fault;
mod read;

pub use fault::{Fault, Faults, Place, Text};
pub use read::{Item, Section, Sink};

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{parse_to_ast, CollectOptions, ParseOptions};
use std::io::Read;
use std::ops::Range;
use std::path::Path;

/// Bytes that an operators' file may have: 10,000 routes with room to spare.
pub const MOST_BYTES: u64 = 4 * 1024 * 1024;

/// A value and the bytes that it takes in its text.
#[derive(Clone, Debug)]
pub struct Value {
    /// Bytes of the text.
    pub span: Range<usize>,
    /// What it is.
    pub kind: Kind,
}

/// The kinds of values.
#[derive(Clone, Debug)]
pub enum Kind {
    /// `null`.
    Null,
    /// A truth value.
    Flag(bool),
    /// A number; infinite where it is too large for the format, or written so.
    Number(f64),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Value>),
    /// An object, in the order of the text.
    Table(Vec<Member>),
}

/// A name of an object and its value.
#[derive(Clone, Debug)]
pub struct Member {
    /// Bytes of the name.
    pub span: Range<usize>,
    /// The name.
    pub name: String,
    /// The value.
    pub value: Value,
}

impl Kind {
    /// What it is, in a word.
    pub fn word(&self) -> &'static str {
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

/// Reads a file of at most [`MOST_BYTES`].
///
/// # Errors
/// One fault, at the first byte that is at fault where there is one: it cannot be read, is no plain file, is too
/// large, or is not UTF-8.
pub fn load(path: &Path) -> Result<Text, Faults> {
    let name = path.display().to_string();
    let whole = |what: String| Faults::of_file(&name, what);
    let file = std::fs::File::open(path).map_err(|e| whole(format!("cannot be read: {e}")))?;
    let kind = file.metadata().map_err(|e| whole(format!("cannot be read: {e}")))?;
    if !kind.is_file() {
        return Err(whole(if kind.is_dir() { "is a folder" } else { "is no plain file" }.into()));
    }
    let mut bytes = Vec::new();
    let read = file.take(MOST_BYTES + 1).read_to_end(&mut bytes);
    read.map_err(|e| whole(format!("cannot be read: {e}")))?;
    if bytes.len() as u64 > MOST_BYTES {
        return Err(whole(format!("is larger than {MOST_BYTES} bytes")));
    }
    match String::from_utf8(bytes) {
        Ok(text) => Ok(Text::new(name, text)),
        Err(error) => {
            let good = error.utf8_error().valid_up_to();
            let text = String::from_utf8_lossy(&error.into_bytes()[..good]).into_owned();
            let fault = Fault::new(good..good, "", "is not UTF-8 from here on".into());
            Err(Faults::new(&Text::new(name, text), vec![fault]))
        }
    }
}

/// Parses a text into its tree.
///
/// # Errors
/// The place at which it is no JSON5, or that it holds no object.
pub fn parse(text: &Text) -> Result<Value, Faults> {
    let options = ParseOptions { allow_missing_commas: false, ..ParseOptions::default() };
    let parsed = parse_to_ast(text.text(), &CollectOptions::default(), &options);
    let one = |span: Range<usize>, what: String| Faults::new(text, vec![Fault::new(span, "", what)]);
    let parsed = parsed.map_err(|error| {
        let range = error.range();
        one(range.start..range.end, format!("is no JSON5: {}", lower(&error.kind().to_string())))
    })?;
    let value = parsed.value.ok_or_else(|| one(0..0, "holds nothing; an object is expected".into()))?;
    let value = own(&value);
    match value.kind {
        Kind::Table(_) => Ok(value),
        ref other => Err(one(value.span.clone(), format!("holds {}; an object is expected", other.word()))),
    }
}

fn lower(words: &str) -> String {
    let mut letters = words.chars();
    letters.next().map_or(String::new(), |first| first.to_lowercase().chain(letters).collect())
}

fn number(text: &str) -> f64 {
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

fn own(value: &ast::Value<'_>) -> Value {
    let range = value.range();
    let kind = match value {
        ast::Value::NullKeyword(_) => Kind::Null,
        ast::Value::BooleanLit(flag) => Kind::Flag(flag.value),
        ast::Value::NumberLit(written) => Kind::Number(number(written.value)),
        ast::Value::StringLit(text) => Kind::Text(text.value.to_string()),
        ast::Value::Array(list) => Kind::List(list.elements.iter().map(own).collect()),
        ast::Value::Object(table) => {
            let member = |property: &ast::ObjectProp<'_>| {
                let name = property.name.range();
                Member {
                    span: name.start..name.end,
                    name: property.name.as_str().to_string(),
                    value: own(&property.value),
                }
            };
            Kind::Table(table.properties.iter().map(member).collect())
        }
    };
    Value { span: range.start..range.end, kind }
}

#[cfg(test)]
mod tests;
