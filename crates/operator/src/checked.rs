//! Parses a document and reports errors by line and field.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::schema::unknown_fields;
use crate::{Finding, Tree};

/// A document with the lines of its fields.
#[derive(Debug)]
pub struct Checked<T> {
    /// The document.
    pub document: T,
    /// Lines of its fields.
    pub tree: Tree,
}

/// Parses a document. `sample` has one element in every list and so names every known field.
pub fn parse_checked<T>(text: &str, sample: &T) -> Result<Checked<T>, Vec<Finding>>
where
    T: DeserializeOwned + Serialize,
{
    let tree = Tree::parse(text).map_err(|finding| vec![finding])?;
    let sample = serde_json::to_value(sample).unwrap_or_default();
    let unknown = unknown_fields(&tree, &sample);
    if !unknown.is_empty() {
        return Err(unknown);
    }
    let deserializer = serde_yaml_ng::Deserializer::from_str(text);
    match serde_path_to_error::deserialize(deserializer) {
        Ok(document) => Ok(Checked { document, tree }),
        Err(error) => {
            let path = error.path().to_string();
            let line = tree.line(&path);
            let value = tree.scalar(&path);
            Err(vec![type_finding(line, path, value, error.inner())])
        }
    }
}

fn type_finding(
    line: usize,
    path: String,
    value: Option<&str>,
    error: &serde_yaml_ng::Error,
) -> Finding {
    let message = error.to_string();
    let message = message.split(" at line ").next().unwrap_or(&message);
    let digits = value.and_then(|v| v.split(|c: char| !c.is_ascii_digit()).next());
    if let (Some(value), Some(digits)) = (value, digits)
        && !digits.is_empty()
        && digits.len() < value.len()
        && message.contains("invalid type")
    {
        return Finding::new(
            line,
            path,
            format!("{value:?} is not a plain number"),
            "write a number only; the unit is part of the field's name",
        );
    }
    Finding::new(
        line,
        path,
        message.to_owned(),
        "write a value of the kind that docs/SETTINGS.md names",
    )
}
