//! Faults of a file: where, at which path, what, and by which rule.

use std::fmt;
use std::ops::Range;
use std::sync::Arc;

/// Count. Faults of one file that are kept; a file with more has one cause.
const MOST_FAULTS: usize = 1000;

/// A text and the name of the file that it came from.
#[derive(Clone, Debug)]
pub struct Text(Arc<(String, String)>);

impl Text {
    /// A text under a name.
    pub fn new(name: impl Into<String>, text: impl Into<String>) -> Text {
        let text: String = text.into();
        // The mark that some editors put first is no part of the text.
        let text = text.strip_prefix('\u{feff}').map(str::to_string).unwrap_or(text);
        Text(Arc::new((name.into(), text)))
    }

    /// The file's name.
    pub fn name(&self) -> &str {
        &self.0 .0
    }

    /// The text.
    pub fn text(&self) -> &str {
        &self.0 .1
    }

    /// Line and column, both from 1, of a byte.
    pub fn place(&self, at: usize) -> Place {
        let before = self.text().get(..at).unwrap_or(self.text());
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |rest| rest.chars().count()) + 1;
        Place { line, column }
    }
}

/// A place in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// From 1.
    pub line: usize,
    /// Characters, from 1.
    pub column: usize,
}

/// One thing that is wrong with a file.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Bytes of the text that it is about.
    pub span: Range<usize>,
    /// Where in the document, such as `limits.routes[2].attempts`; empty for the whole.
    pub path: String,
    /// What is wrong.
    pub what: String,
    /// The rule that would be broken.
    pub rule: Option<String>,
}

impl Fault {
    /// A fault that breaks no rule but that of the file's form.
    pub fn new(span: Range<usize>, path: &str, what: String) -> Fault {
        Fault { span, path: path.to_string(), what, rule: None }
    }
}

/// All that is wrong with a file, in the order of the text.
#[derive(Clone, Debug)]
pub struct Faults {
    text: Text,
    faults: Vec<Fault>,
    whole_file: bool,
}

impl Faults {
    /// The faults of a text.
    pub fn new(text: &Text, mut faults: Vec<Fault>) -> Faults {
        faults.sort_by_key(|f| f.span.start);
        faults.truncate(MOST_FAULTS);
        Faults { text: text.clone(), faults, whole_file: false }
    }

    /// A fault that has no place in the text.
    pub fn of_file(name: &str, what: String) -> Faults {
        let fault = Fault::new(0..0, "", what);
        Faults { text: Text::new(name, ""), faults: vec![fault], whole_file: true }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.faults.len()
    }

    /// One line for each: file, line, column, path, what, rule.
    pub fn lines(&self) -> Vec<String> {
        self.faults.iter().map(|fault| self.line(fault)).collect()
    }

    fn line(&self, fault: &Fault) -> String {
        let place = self.text.place(fault.span.start);
        let mut line = match self.whole_file {
            true => format!("{}: ", self.text.name()),
            false => format!("{}:{}:{}: ", self.text.name(), place.line, place.column),
        };
        if !fault.path.is_empty() {
            line += &format!("{}: ", fault.path);
        }
        line += &fault.what;
        if let Some(rule) = &fault.rule {
            line += &format!(" [rule: {rule}]");
        }
        line
    }

    /// Every fault with the line of the text that it is about and a mark below it.
    pub fn drawn(&self) -> String {
        use ariadne::{CharSet, Config, IndexType, Label, Report, ReportKind, Source};
        let config = Config::default()
            .with_color(false)
            .with_char_set(CharSet::Ascii)
            .with_index_type(IndexType::Byte);
        let mut out = Vec::new();
        for fault in &self.faults {
            let line = self.line(fault);
            out.extend(line.as_bytes());
            out.push(b'\n');
            if self.whole_file || self.text.text().is_empty() {
                continue;
            }
            let name = self.text.name();
            let span = (name, fault.span.clone());
            let report = Report::build(ReportKind::Error, span.clone())
                .with_config(config)
                .with_message(&fault.what)
                .with_label(Label::new(span).with_message(fault.rule.as_deref().unwrap_or("here")))
                .finish();
            // Writing into memory fails only where the text is not what the spans were taken from.
            let _ = report.write((name, Source::from(self.text.text())), &mut out);
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.faults.first() else { return write!(f, "{}: no fault", self.text.name()) };
        write!(f, "{}", self.line(first))?;
        match self.faults.len() - 1 {
            0 => Ok(()),
            1 => write!(f, " (and 1 more fault)"),
            more => write!(f, " (and {more} more faults)"),
        }
    }
}

impl std::error::Error for Faults {}
