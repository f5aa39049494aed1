//! Reader of JSON with comments that records the location of every value.

use std::cell::RefCell;
use std::fmt::Display;
use std::str::FromStr;

use jsonc_parser::ast::Object;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Range;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;
use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;

use base::Findings;

/// A value with its location in the file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Located<T> {
    /// `file:line:column`; line and column count from 1.
    pub location: String,
    /// The value.
    pub value: T,
}

impl Located<String> {
    /// Parses the text; an error is reported as a finding.
    pub fn parse<T>(&self, findings: &mut Findings, remedy: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.value.parse() {
            Ok(value) => Some(value),
            Err(err) => {
                let problem = format!("{:?} is not valid: {err}", self.value);
                findings.add(self.location.as_str(), problem, remedy);
                None
            }
        }
    }
}

/// A configuration file and the findings collected while reading it.
pub struct Source<'a> {
    file: &'a str,
    text: &'a str,
    findings: RefCell<Findings>,
}

impl<'a> Source<'a> {
    /// Takes the file's name, which is shown in findings, and its text.
    pub fn new(file: &'a str, text: &'a str) -> Source<'a> {
        Source {
            file,
            text,
            findings: RefCell::default(),
        }
    }

    /// Parses the text as JSON with comments and trailing commas. Other extensions of JSON are
    /// reported as findings.
    pub fn parse(&self) -> Option<Value<'a>> {
        match parse_to_ast(self.text, &CollectOptions::default(), &parse_options()) {
            Ok(tree) if tree.value.is_some() => tree.value,
            Ok(_) => {
                self.add(0, "the file is empty", "write one JSON object");
                None
            }
            Err(err) => {
                let problem = err.kind().to_string().to_lowercase();
                self.add(err.range().start, &problem, "write JSON with comments");
                None
            }
        }
    }

    /// Adds a finding at a byte offset.
    pub fn add(&self, offset: usize, problem: &str, remedy: &str) {
        let location = self.location(offset);
        self.findings.borrow_mut().add(location, problem, remedy);
    }

    /// Returns the findings collected so far.
    pub fn into_findings(self) -> Findings {
        self.findings.into_inner()
    }

    /// `file:line:column` of a byte offset; the column counts characters.
    pub fn location(&self, offset: usize) -> String {
        let before = &self.text[..offset.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |i| i + 1);
        let column = before[start..].chars().count() + 1;
        format!("{}:{line}:{column}", self.file)
    }

    fn located<T>(&self, range: Range, value: T) -> Located<T> {
        Located {
            location: self.location(range.start),
            value,
        }
    }
}

/// A JSON object whose fields are read by name. Keeps the names that were asked for, to
/// detect unknown fields.
pub struct Section<'s, 'a> {
    source: &'s Source<'a>,
    object: Option<&'s Object<'a>>,
    path: String,
    known: Vec<&'static str>,
}

impl<'s, 'a> Section<'s, 'a> {
    /// The root object of a document. Any other value is a finding.
    pub fn root(source: &'s Source<'a>, value: &'s Value<'a>) -> Section<'s, 'a> {
        let object = value.as_object();
        if object.is_none() {
            source.add(value.start(), "not an object", "write { ... }");
        }
        Section {
            source,
            object,
            path: String::new(),
            known: Vec::new(),
        }
    }

    /// Location of the object itself.
    pub fn location(&self) -> String {
        self.source.location(self.object.map_or(0, |o| o.start()))
    }

    /// Reads a nested object; an absent one reads as empty.
    pub fn section(&mut self, name: &'static str) -> Section<'s, 'a> {
        let path = self.full_name(name);
        let object = self.read_field(name, "an object", |v| v.as_object());
        Section {
            source: self.source,
            object,
            path,
            known: Vec::new(),
        }
    }

    /// Reads an optional string.
    pub fn text(&mut self, name: &'static str) -> Option<Located<String>> {
        let lit = self.read_field(name, "a text in quotes", |v| v.as_string_lit())?;
        Some(self.source.located(lit.range, lit.value.to_string()))
    }

    /// Reads a required string.
    pub fn required_text(&mut self, name: &'static str, remedy: &str) -> Option<Located<String>> {
        self.require(name, remedy);
        self.text(name)
    }

    /// Reads a required list of strings with at least one entry.
    pub fn required_texts(&mut self, name: &'static str, remedy: &str) -> Vec<Located<String>> {
        self.require(name, remedy);
        let list = self.object.and_then(|o| o.get_array(name));
        if let Some(list) = list.filter(|l| l.elements.is_empty()) {
            let problem = format!("\"{}\" is empty", self.full_name(name));
            self.source.add(list.range.start, &problem, remedy);
        }
        self.texts(name)
    }

    /// Reads a list of strings; an absent one reads as empty.
    pub fn texts(&mut self, name: &'static str) -> Vec<Located<String>> {
        let Some(list) = self.read_field(name, "a list of texts", |v| v.as_array()) else {
            return Vec::new();
        };
        let mut texts = Vec::new();
        for item in &list.elements {
            match item.as_string_lit() {
                Some(lit) => texts.push(self.source.located(lit.range, lit.value.to_string())),
                None => self.report_wrong_type(name, item.start(), "a list of texts"),
            }
        }
        texts
    }

    /// Reads an optional unsigned integer.
    pub fn number(&mut self, name: &'static str) -> Option<Located<u64>> {
        let kind = "a whole number from 0";
        let lit = self.read_field(name, kind, |v| v.as_number_lit())?;
        match lit.value.parse() {
            Ok(value) => Some(self.source.located(lit.range, value)),
            Err(_) => {
                self.report_wrong_type(name, lit.range.start, kind);
                None
            }
        }
    }

    /// Reads an optional boolean.
    pub fn flag(&mut self, name: &'static str) -> Option<Located<bool>> {
        let lit = self.read_field(name, "true or false", |v| v.as_boolean_lit())?;
        Some(self.source.located(lit.range, lit.value))
    }

    /// Reports unknown and duplicate fields as findings.
    pub fn finish(self) {
        let Some(object) = self.object else { return };
        let mut seen = Vec::new();
        for prop in &object.properties {
            let name = prop.name.as_str();
            if !self.known.contains(&name) {
                self.report_unknown(name, prop.range.start);
            } else if seen.contains(&name) {
                let problem = format!("\"{}\" is given twice", self.full_name(name));
                self.source.add(prop.range.start, &problem, "keep one");
            }
            seen.push(name);
        }
    }

    fn report_unknown(&self, name: &str, offset: usize) {
        let problem = format!("unknown field \"{}\"", self.full_name(name));
        let remedy = format!("remove it; known here: {}", self.known.join(", "));
        self.source.add(offset, &problem, &remedy);
    }

    fn read_field<T>(
        &mut self,
        name: &'static str,
        kind: &str,
        read: impl Fn(&'s Value<'a>) -> Option<T>,
    ) -> Option<T> {
        self.known.push(name);
        let value = &self.object?.get(name)?.value;
        let got = read(value);
        if got.is_none() {
            self.report_wrong_type(name, value.start(), kind);
        }
        got
    }

    fn require(&self, name: &str, remedy: &str) {
        if self.object.is_some_and(|o| o.get(name).is_some()) {
            return;
        }
        let offset = self.object.map_or(0, |o| o.start());
        let problem = format!("\"{}\" is missing", self.full_name(name));
        self.source.add(offset, &problem, remedy);
    }

    fn report_wrong_type(&self, name: &str, offset: usize, kind: &str) {
        let problem = format!("\"{}\" has the wrong type", self.full_name(name));
        self.source.add(offset, &problem, &format!("write {kind}"));
    }

    fn full_name(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_string()
        } else {
            format!("{}.{name}", self.path)
        }
    }
}

fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}
