//! Typed readers: each takes what it can, and books what it cannot.

use super::{Fault, Kind, Member, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::{Range, RangeInclusive};

/// Share. A known name must be at least so alike to be proposed for an unknown one.
const ALIKE: f64 = 0.75;

/// Where the faults of a file gather.
#[derive(Debug, Default)]
pub struct Sink(RefCell<Vec<Fault>>);

impl Sink {
    /// Books a fault.
    pub fn push(&self, fault: Fault) {
        self.0.borrow_mut().push(fault);
    }

    /// Takes all that were booked.
    pub fn take(&self) -> Vec<Fault> {
        self.0.take()
    }

    /// How many were booked.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }
}

/// A number as it would be written: very large and very small ones with an exponent.
fn shown(number: f64) -> String {
    match number.abs() {
        x if x != 0.0 && !(1e-6..1e15).contains(&x) => format!("{number:e}"),
        _ => number.to_string(),
    }
}

/// The known name that is nearest to another, where one is near.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let alike = |k: &str| strsim::jaro_winkler(&name.to_lowercase(), &k.to_lowercase());
    let best = known.into_iter().map(|k| (alike(k), k)).max_by(|a, b| a.0.total_cmp(&b.0));
    best.filter(|(share, _)| *share >= ALIKE).map(|(_, k)| k)
}

/// A value with its path, to be read as something.
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

    /// Where it stands in the document.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Where its faults are booked.
    pub fn sink(&self) -> &'a Sink {
        self.sink
    }

    /// The bytes that it takes.
    pub fn span(&self) -> Range<usize> {
        self.value.span.clone()
    }

    /// Books a fault of this value.
    pub fn fault(&self, what: impl Into<String>) {
        self.sink.push(Fault::new(self.span(), &self.path, what.into()));
    }

    /// Books a fault of this value that would break a rule.
    pub fn breaks(&self, what: impl Into<String>, rule: impl Into<String>) {
        let fault = Fault::new(self.span(), &self.path, what.into());
        self.sink.push(Fault { rule: Some(rule.into()), ..fault });
    }

    fn expected(&self, what: &str) {
        self.fault(format!("is {}; {what} is expected", self.value.kind.word()));
    }

    /// As an object.
    pub fn section(&self) -> Option<Section<'a>> {
        let Kind::Table(members) = &self.value.kind else {
            self.expected("an object");
            return None;
        };
        let mut first: BTreeMap<&str, &Member> = BTreeMap::new();
        for member in members {
            if first.insert(&member.name, member).is_some() {
                let path = join(&self.path, &member.name);
                self.sink.push(Fault::new(member.span.clone(), &path, "is named twice".into()));
            }
        }
        Some(Section { item: self.clone(), members, asked: RefCell::default() })
    }

    /// As a list.
    pub fn list(&self) -> Option<Vec<Item<'a>>> {
        let Kind::List(values) = &self.value.kind else {
            self.expected("a list");
            return None;
        };
        let item = |(at, value)| Item { path: format!("{}[{at}]", self.path), value, sink: self.sink };
        Some(values.iter().enumerate().map(item).collect())
    }

    /// As a string that is not empty.
    pub fn text(&self) -> Option<&'a str> {
        match &self.value.kind {
            Kind::Text(text) if text.is_empty() => self.fault("is empty"),
            Kind::Text(text) => return Some(text),
            _ => self.expected("a string"),
        }
        None
    }

    /// As a truth value.
    pub fn flag(&self) -> Option<bool> {
        match self.value.kind {
            Kind::Flag(flag) => return Some(flag),
            _ => self.expected("true or false"),
        }
        None
    }

    /// As a finite number.
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

    /// As a number within bounds.
    pub fn within(&self, range: RangeInclusive<f64>, unit: &str) -> Option<f64> {
        let number = self.number()?;
        if range.contains(&number) {
            return Some(number);
        }
        self.fault(format!("is {}; {} to {}{unit} are allowed", shown(number), range.start(), range.end()));
        None
    }

    /// As a number above 0.
    pub fn positive(&self, most: f64, unit: &str) -> Option<f64> {
        let number = self.number()?;
        if number > 0.0 && number <= most {
            return Some(number);
        }
        self.fault(format!("is {}; above 0 and up to {most}{unit} is allowed", shown(number)));
        None
    }

    /// As a whole number within bounds.
    pub fn count(&self, range: RangeInclusive<u64>) -> Option<u64> {
        let number = self.number()?;
        if number.fract() != 0.0 {
            self.fault(format!("is {}; a whole number is expected", shown(number)));
            return None;
        }
        if number < *range.start() as f64 || number > *range.end() as f64 {
            self.fault(format!("is {}; {} to {} are allowed", shown(number), range.start(), range.end()));
            return None;
        }
        Some(number as u64)
    }

    /// As milliseconds above 0; gives seconds.
    pub fn millis(&self, most_ms: f64) -> Option<f64> {
        self.positive(most_ms, " ms").map(|ms| ms / 1e3)
    }

    /// As two numbers from 0 up to `most`, the first not above the second.
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

    /// As one of some words.
    pub fn one_of<T: Copy>(&self, words: &[(&str, T)]) -> Option<T> {
        let text = self.text()?;
        if let Some((_, value)) = words.iter().find(|(word, _)| *word == text) {
            return Some(*value);
        }
        let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        self.unknown(text, &known);
        None
    }

    /// Books that a name is not known, with the nearest that is.
    pub fn unknown(&self, name: &str, known: &[&str]) {
        self.fault(not_known(name, known));
    }
}

fn not_known(name: &str, known: &[&str]) -> String {
    match nearest(name, known.iter().copied()) {
        Some(near) => format!("{name:?} is not known; did you mean {near:?}?"),
        None => format!("{name:?} is not known; there are {}", known.join(", ")),
    }
}

fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.to_string(),
        path => format!("{path}.{name}"),
    }
}

/// An object whose names are read one by one; those that nobody asked for are faults.
pub struct Section<'a> {
    item: Item<'a>,
    members: &'a [Member],
    asked: RefCell<Vec<&'static str>>,
}

impl<'a> Section<'a> {
    /// The object as a value.
    pub fn item(&self) -> &Item<'a> {
        &self.item
    }

    /// A member by its name. Of those that are named twice the last one counts, and all are told.
    pub fn get(&self, name: &'static str) -> Option<Item<'a>> {
        self.asked.borrow_mut().push(name);
        let member = self.members.iter().rev().find(|m| m.name == name)?;
        Some(Item { path: join(&self.item.path, name), value: &member.value, sink: self.item.sink })
    }

    /// A member that must be there.
    pub fn need(&self, name: &'static str) -> Option<Item<'a>> {
        let found = self.get(name);
        if found.is_none() {
            self.item.fault(format!("{name:?} is missing"));
        }
        found
    }

    /// Every member, whatever its name; none of them counts as unknown.
    pub fn all(&self) -> Vec<(&'a Member, Item<'a>)> {
        let item = |m: &'a Member| {
            let path = join(&self.item.path, &m.name);
            (m, Item { path, value: &m.value, sink: self.item.sink })
        };
        self.members.iter().map(item).collect()
    }

    /// Books the names that nobody asked for. `wish` tells the rule that an unknown name would break, where it is
    /// known to be a wish for something that is never allowed.
    pub fn close(&self, wish: impl Fn(&str) -> Option<String>) {
        let asked = self.asked.borrow();
        for member in self.members.iter().filter(|m| !asked.contains(&m.name.as_str())) {
            let path = join(&self.item.path, &member.name);
            let rule = wish(&member.name);
            let what = match rule {
                Some(_) => "is not to be had".to_string(),
                None => not_known(&member.name, &asked),
            };
            self.item.sink.push(Fault { span: member.span.clone(), path, what, rule });
        }
    }
}
