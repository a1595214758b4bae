//! Faults of a file: position, path in the document, message, and the rule that is broken.

use std::fmt;
use std::ops::Range;
use std::sync::Arc;

/// Count. The most faults of a file that are kept; where there are more, they usually have one common cause.
const MAX_FAULTS: usize = 1000;

/// A text and the name of its file.
#[derive(Clone, Debug)]
pub struct Text(Arc<(String, String)>);

impl Text {
    /// A text with the name of its file.
    pub fn new(name: impl Into<String>, text: impl Into<String>) -> Text {
        let text: String = text.into();
        // Some editors write a byte order mark first, which is not part of the text.
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

    /// Line and column of the byte at an offset.
    pub fn position(&self, at: usize) -> Position {
        let before = self.text().get(..at).unwrap_or(self.text());
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |rest| rest.chars().count()) + 1;
        Position { line, column }
    }
}

/// A position in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
}

/// One thing that is wrong with a file.
#[derive(Clone, Debug)]
pub struct Fault {
    /// The range of bytes of the text that is at fault.
    pub span: Range<usize>,
    /// The path in the document, such as `limits.routes[2].attempts`; empty for the whole document.
    pub path: String,
    /// The message.
    pub what: String,
    /// The rule that the value would break, if any.
    pub rule: Option<String>,
}

impl Fault {
    /// A fault without a rule, such as an error of the syntax or the type.
    pub fn new(span: Range<usize>, path: &str, what: String) -> Fault {
        Fault { span, path: path.to_string(), what, rule: None }
    }
}

/// All faults of a file, in the order of the text.
#[derive(Clone, Debug)]
pub struct Faults {
    text: Text,
    faults: Vec<Fault>,
    whole_file: bool,
}

impl Faults {
    /// Collects the faults of a text.
    pub fn new(text: &Text, mut faults: Vec<Fault>) -> Faults {
        faults.sort_by_key(|f| f.span.start);
        faults.truncate(MAX_FAULTS);
        Faults { text: text.clone(), faults, whole_file: false }
    }

    /// A single fault of a file as a whole, without a position.
    pub fn of_file(name: &str, what: String) -> Faults {
        let fault = Fault::new(0..0, "", what);
        Faults { text: Text::new(name, ""), faults: vec![fault], whole_file: true }
    }

    /// The number of faults.
    pub fn count(&self) -> usize {
        self.faults.len()
    }

    /// One line for each fault: file, line, column, path, message, rule.
    pub fn lines(&self) -> Vec<String> {
        self.faults.iter().map(|fault| self.line(fault)).collect()
    }

    fn line(&self, fault: &Fault) -> String {
        let position = self.text.position(fault.span.start);
        let mut line = match self.whole_file {
            true => format!("{}: ", self.text.name()),
            false => format!("{}:{}:{}: ", self.text.name(), position.line, position.column),
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

    /// All faults, each with its line of the text and a mark below the range that is at fault.
    pub fn annotated(&self) -> String {
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
            // Writing to memory fails only if the spans do not belong to this text.
            let _ = report.write((name, Source::from(self.text.text())), &mut out);
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.faults.first() else { return write!(f, "{}: no faults", self.text.name()) };
        write!(f, "{}", self.line(first))?;
        match self.faults.len() - 1 {
            0 => Ok(()),
            1 => write!(f, " (and 1 more fault)"),
            more => write!(f, " (and {more} more faults)"),
        }
    }
}

impl std::error::Error for Faults {}
