//! A YAML document that records the line of each node.

use marked_yaml::loader::{LoadError, LoaderOptions, parse_yaml_with_options};
use marked_yaml::{Node, Span};

use crate::Finding;

/// A parsed document.
#[derive(Debug)]
pub struct Tree {
    root: Node,
}

impl Tree {
    /// Parses a document. A key that occurs twice in a mapping is an error.
    pub fn parse(text: &str) -> Result<Self, Finding> {
        let options = LoaderOptions::default().error_on_duplicate_keys(true);
        match parse_yaml_with_options(0, text, options) {
            Ok(root) => Ok(Self { root }),
            Err(error) => Err(load_finding(error)),
        }
    }

    /// Returns the root node.
    pub(crate) fn root(&self) -> &Node {
        &self.root
    }

    /// Returns the line of the node at a path such as `routes[0].group`, or of its nearest existing
    /// parent.
    pub fn line(&self, path: &str) -> usize {
        let mut node = &self.root;
        for segment in segments(path) {
            let child = match segment {
                Segment::Key(key) => node.as_mapping().and_then(|m| m.get_node(key)),
                Segment::Index(index) => node.as_sequence().and_then(|s| s.get_node(index)),
            };
            let Some(child) = child else {
                break;
            };
            node = child;
        }
        line_of(node.span())
    }

    /// Returns the text of the scalar at a path.
    pub(crate) fn scalar(&self, path: &str) -> Option<&str> {
        let mut node = &self.root;
        for segment in segments(path) {
            node = match segment {
                Segment::Key(key) => node.as_mapping()?.get_node(key)?,
                Segment::Index(index) => node.as_sequence()?.get_node(index)?,
            };
        }
        Some(node.as_scalar()?.as_str())
    }
}

/// Returns the line at which a node starts.
pub(crate) fn line_of(span: &Span) -> usize {
    span.start().map_or(1, |marker| marker.line())
}

enum Segment<'a> {
    Key(&'a str),
    Index(usize),
}

fn segments(path: &str) -> impl Iterator<Item = Segment<'_>> {
    path.split(['.', '[', ']'])
        .filter(|part| !part.is_empty())
        .map(|part| match part.parse() {
            Ok(index) => Segment::Index(index),
            Err(_) => Segment::Key(part),
        })
}

fn load_finding(error: LoadError) -> Finding {
    match error {
        LoadError::DuplicateKey(inner) => Finding::new(
            line_of(inner.key.span()),
            inner.key.as_str(),
            format!(
                "the field was already set in line {}",
                line_of(inner.prev_key.span())
            ),
            "remove one of the two",
        ),
        LoadError::TopLevelMustBeMapping(marker) => Finding::new(
            marker.line(),
            ".",
            "the document is not a mapping",
            "write fields as `name: value`",
        ),
        LoadError::ScanError(marker, error) => Finding::new(
            marker.line(),
            ".",
            format!("the text is not YAML: {error}"),
            "check indentation and quotes",
        ),
        LoadError::UnexpectedAnchor(marker) | LoadError::UnexpectedTag(marker) => Finding::new(
            marker.line(),
            ".",
            "anchors and tags are not supported",
            "write the value out",
        ),
        other => Finding::new(1, ".", other.to_string(), "check the document's structure"),
    }
}
