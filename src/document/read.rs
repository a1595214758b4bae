//! Typed readers of values. A reader returns `None` for an invalid value and records the fault.

use super::{Fault, Kind, Member, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::{Range, RangeInclusive};

/// The lowest Jaro-Winkler similarity at which a known name is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.75;

/// Collects the faults of a file.
#[derive(Debug, Default)]
pub struct Sink(RefCell<Vec<Fault>>);

impl Sink {
    /// Records a fault.
    pub fn push(&self, fault: Fault) {
        self.0.borrow_mut().push(fault);
    }

    /// Removes and returns all recorded faults.
    pub fn take(&self) -> Vec<Fault> {
        self.0.take()
    }

    /// The number of recorded faults.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }
}

/// Formats a number; very large and very small ones get an exponent.
fn format_number(number: f64) -> String {
    match number.abs() {
        x if x != 0.0 && !(1e-6..1e15).contains(&x) => format!("{number:e}"),
        _ => number.to_string(),
    }
}

/// The known name that is most similar to another, if one is similar enough.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let similarity = |k: &str| strsim::jaro_winkler(&name.to_lowercase(), &k.to_lowercase());
    let best = known.into_iter().map(|k| (similarity(k), k)).max_by(|a, b| a.0.total_cmp(&b.0));
    best.filter(|(score, _)| *score >= MIN_SIMILARITY).map(|(_, k)| k)
}

/// A value with its path, and the sink for its faults.
#[derive(Clone)]
pub struct Item<'a> {
    path: String,
    value: &'a Value,
    sink: &'a Sink,
}

impl<'a> Item<'a> {
    /// The root of a document.
    pub fn root(value: &'a Value, sink: &'a Sink) -> Item<'a> {
        Item { path: String::new(), value, sink }
    }

    /// The path in the document.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// The sink that collects its faults.
    pub fn sink(&self) -> &'a Sink {
        self.sink
    }

    /// The range of bytes in the text.
    pub fn span(&self) -> Range<usize> {
        self.value.span.clone()
    }

    /// Records a fault of this value.
    pub fn fault(&self, what: impl Into<String>) {
        self.sink.push(Fault::new(self.span(), &self.path, what.into()));
    }

    /// Records a fault of this value, with the rule that it would break.
    pub fn breaks(&self, what: impl Into<String>, rule: impl Into<String>) {
        let fault = Fault::new(self.span(), &self.path, what.into());
        self.sink.push(Fault { rule: Some(rule.into()), ..fault });
    }

    fn expected(&self, what: &str) {
        self.fault(format!("is {}; {what} is expected", self.value.kind.kind_name()));
    }

    /// Reads an object.
    pub fn section(&self) -> Option<Section<'a>> {
        let Kind::Table(members) = &self.value.kind else {
            self.expected("an object");
            return None;
        };
        let mut by_name: BTreeMap<&str, &Member> = BTreeMap::new();
        for member in members {
            if by_name.insert(&member.name, member).is_some() {
                let path = join(&self.path, &member.name);
                self.sink.push(Fault::new(member.span.clone(), &path, "is named twice".into()));
            }
        }
        Some(Section { item: self.clone(), members, names_read: RefCell::default() })
    }

    /// Reads a list.
    pub fn list(&self) -> Option<Vec<Item<'a>>> {
        let Kind::List(values) = &self.value.kind else {
            self.expected("a list");
            return None;
        };
        let item = |(at, value)| Item { path: format!("{}[{at}]", self.path), value, sink: self.sink };
        Some(values.iter().enumerate().map(item).collect())
    }

    /// Reads a string that is not empty.
    pub fn text(&self) -> Option<&'a str> {
        match &self.value.kind {
            Kind::Text(text) if text.is_empty() => self.fault("is empty"),
            Kind::Text(text) => return Some(text),
            _ => self.expected("a string"),
        }
        None
    }

    /// Reads a boolean.
    pub fn flag(&self) -> Option<bool> {
        match self.value.kind {
            Kind::Flag(flag) => return Some(flag),
            _ => self.expected("true or false"),
        }
        None
    }

    /// Reads a finite number.
    pub fn number(&self) -> Option<f64> {
        let Kind::Number(number) = self.value.kind else {
            self.expected("a number");
            return None;
        };
        if number.is_nan() {
            self.fault("is not a number");
        } else if number.is_infinite() {
            self.fault("is infinite, or too large for a number");
        } else {
            return Some(number);
        }
        None
    }

    /// Reads a number within bounds.
    pub fn within(&self, range: RangeInclusive<f64>, unit: &str) -> Option<f64> {
        let number = self.number()?;
        if range.contains(&number) {
            return Some(number);
        }
        self.fault(format!(
            "is {}; {} to {}{unit} are allowed",
            format_number(number),
            range.start(),
            range.end()
        ));
        None
    }

    /// Reads a number above 0 and up to `most`.
    pub fn positive(&self, most: f64, unit: &str) -> Option<f64> {
        let number = self.number()?;
        if number > 0.0 && number <= most {
            return Some(number);
        }
        self.fault(format!("is {}; above 0 and up to {most}{unit} is allowed", format_number(number)));
        None
    }

    /// Reads a whole number within bounds.
    pub fn count(&self, range: RangeInclusive<u64>) -> Option<u64> {
        let number = self.number()?;
        if number.fract() != 0.0 {
            self.fault(format!("is {}; a whole number is expected", format_number(number)));
            return None;
        }
        if number < *range.start() as f64 || number > *range.end() as f64 {
            self.fault(format!(
                "is {}; {} to {} are allowed",
                format_number(number),
                range.start(),
                range.end()
            ));
            return None;
        }
        Some(number as u64)
    }

    /// Reads milliseconds above 0, and returns seconds.
    pub fn millis(&self, most_ms: f64) -> Option<f64> {
        self.positive(most_ms, " ms").map(|ms| ms / 1e3)
    }

    /// Reads a range: a list of two numbers from 0 up to `most`, the first not above the second.
    pub fn span_of(&self, most: f64) -> Option<(f64, f64)> {
        let parts = self.list()?;
        let [least, upper] = &parts[..] else {
            self.fault(format!("has {} values; two are expected, least and most", parts.len()));
            return None;
        };
        let (least, upper) = (least.within(0.0..=most, "")?, upper.within(0.0..=most, "")?);
        if least > upper {
            self.fault(format!("goes from {least} down to {upper}"));
            return None;
        }
        Some((least, upper))
    }

    /// Reads one of the listed words, and returns the value that is listed with it.
    pub fn one_of<T: Copy>(&self, words: &[(&str, T)]) -> Option<T> {
        let text = self.text()?;
        if let Some((_, value)) = words.iter().find(|(word, _)| *word == text) {
            return Some(*value);
        }
        let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        self.unknown(text, &known);
        None
    }

    /// Records that a name is unknown, with the most similar known name or all known ones.
    pub fn unknown(&self, name: &str, known: &[&str]) {
        self.fault(unknown_name(name, known));
    }
}

fn unknown_name(name: &str, known: &[&str]) -> String {
    match nearest(name, known.iter().copied()) {
        Some(near) => format!("{name:?} is not known; did you mean {near:?}?"),
        None => format!("{name:?} is not known; the known names are {}", known.join(", ")),
    }
}

fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.to_string(),
        path => format!("{path}.{name}"),
    }
}

/// An object whose members are read by name; members that were not read are faults.
pub struct Section<'a> {
    item: Item<'a>,
    members: &'a [Member],
    names_read: RefCell<Vec<&'static str>>,
}

impl<'a> Section<'a> {
    /// The object as a value.
    pub fn item(&self) -> &Item<'a> {
        &self.item
    }

    /// The member with this name. Of duplicates the last one is returned, and reading the object records a
    /// fault.
    pub fn get(&self, name: &'static str) -> Option<Item<'a>> {
        self.names_read.borrow_mut().push(name);
        let member = self.members.iter().rev().find(|m| m.name == name)?;
        Some(Item { path: join(&self.item.path, name), value: &member.value, sink: self.item.sink })
    }

    /// The member with this name; records a fault if it is missing.
    pub fn need(&self, name: &'static str) -> Option<Item<'a>> {
        let found = self.get(name);
        if found.is_none() {
            self.item.fault(format!("{name:?} is missing"));
        }
        found
    }

    /// All members, for objects whose names are not fixed. They do not count as read, so [`Section::close`]
    /// is not called for such an object.
    pub fn all(&self) -> Vec<(&'a Member, Item<'a>)> {
        let item = |m: &'a Member| {
            let path = join(&self.item.path, &m.name);
            (m, Item { path, value: &m.value, sink: self.item.sink })
        };
        self.members.iter().map(item).collect()
    }

    /// Records a fault for each member that was not read. `forbidden` returns the rule that an unknown name
    /// would break, if the name is recognised as a request for something that is never allowed.
    pub fn close(&self, forbidden: impl Fn(&str) -> Option<String>) {
        let names_read = self.names_read.borrow();
        for member in self.members.iter().filter(|m| !names_read.contains(&m.name.as_str())) {
            let path = join(&self.item.path, &member.name);
            let rule = forbidden(&member.name);
            let what = match rule {
                Some(_) => "is not supported".to_string(),
                None => unknown_name(&member.name, &names_read),
            };
            self.item.sink.push(Fault { span: member.span.clone(), path, what, rule });
        }
    }
}
