//! Finds unknown fields and suggests the fields that were probably meant.
//!
//! The known fields are taken from a sample value in which every list has one element, so that no
//! separate schema of the documents has to be maintained.

use marked_yaml::Node;
use serde_json::Value;

use crate::Finding;
use crate::tree::{Tree, line_of};

/// Suffixes that name a unit, with the unit in words.
const UNITS: [(&str, &str); 11] = [
    ("_per_hour", "per hour"),
    ("_per_min", "per minute"),
    ("_per_day", "per day"),
    ("_per_s", "per second"),
    ("_microcents", "millionths of a cent"),
    ("_percent", "percent"),
    ("_bytes", "bytes"),
    ("_cents", "cents"),
    ("_ms", "milliseconds"),
    ("_s", "seconds"),
    ("_min", "minutes"),
];

/// Lists the fields of a document that the sample does not have.
pub(crate) fn unknown_fields(tree: &Tree, sample: &Value) -> Vec<Finding> {
    let mut findings = Vec::new();
    walk(tree.root(), sample, "", &mut findings);
    findings
}

fn walk(node: &Node, sample: &Value, path: &str, findings: &mut Vec<Finding>) {
    match (node, sample) {
        (Node::Mapping(mapping), Value::Object(known)) => {
            for (key, child) in mapping.iter() {
                let child_path = join(path, key.as_str());
                match known.get(key.as_str()) {
                    Some(child_sample) => walk(child, child_sample, &child_path, findings),
                    None => findings.push(unknown_field(
                        line_of(key.span()),
                        child_path,
                        key.as_str(),
                        known.keys().map(String::as_str),
                    )),
                }
            }
        }
        (Node::Sequence(items), Value::Array(known)) => {
            let Some(element) = known.first() else {
                return;
            };
            for (index, item) in items.iter().enumerate() {
                walk(item, element, &format!("{path}[{index}]"), findings);
            }
        }
        _ => {}
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

fn unknown_field<'a>(
    line: usize,
    path: String,
    name: &str,
    known: impl Iterator<Item = &'a str> + Clone,
) -> Finding {
    let stem = split_unit(name).0;
    let same_stem = known.clone().find(|k| split_unit(k).0 == stem);
    if let Some(field) = same_stem {
        let unit = split_unit(field).1.unwrap_or("no unit");
        return Finding::new(
            line,
            path,
            "the field has the wrong unit",
            format!("use `{field}` and give the value in {unit}"),
        );
    }
    let nearest = known
        .clone()
        .min_by_key(|k| edit_distance(k, name))
        .filter(|k| edit_distance(k, name) <= 3);
    let remedy = match nearest {
        Some(field) => format!("use `{field}`, or remove the field"),
        None => {
            let all: Vec<_> = known.collect();
            format!("remove it; known fields are {}", all.join(", "))
        }
    };
    Finding::new(line, path, "the field does not exist", remedy)
}

fn split_unit(name: &str) -> (&str, Option<&'static str>) {
    for (suffix, unit) in UNITS {
        if let Some(stem) = name.strip_suffix(suffix) {
            return (stem, Some(unit));
        }
    }
    (name, None)
}

/// Returns the Levenshtein distance of two names.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, ca) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, cb) in b.iter().enumerate() {
            let substitution = diagonal + usize::from(ca != *cb);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(row[j + 1] + 1);
        }
    }
    row[b.len()]
}
