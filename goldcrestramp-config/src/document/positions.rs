//! Finds the place of a path after a document has been read.

use goldcrestramp_types::FastMap;

use super::{
    fault::SourcePosition,
    tree::{DocumentNode, NodeContent},
};

/// The places of all values of one document, by path.
#[derive(Clone, Debug)]
pub(crate) struct PlaceIndex {
    places: FastMap<String, SourcePosition>,
}

impl PlaceIndex {
    /// The places at and below `node`.
    pub(crate) fn new(node: &DocumentNode) -> Self {
        let mut places = FastMap::default();
        note_places(node, &mut places);
        Self { places }
    }

    /// The place of a value, or of what holds it when the text lacks it.
    pub(crate) fn find(&self, path: &str) -> SourcePosition {
        let mut path = path;
        loop {
            if let Some(position) = self.places.get(path) {
                return *position;
            }
            let end = path.rfind(['.', '[']);
            match end.and_then(|end| path.get(..end)) {
                Some(holder) => path = holder,
                None if path.is_empty() => return SourcePosition::default(),
                None => path = "",
            }
        }
    }
}

fn note_places(
    node: &DocumentNode,
    places: &mut FastMap<String, SourcePosition>,
) {
    places.insert(node.path.clone(), node.position);
    match &node.content {
        NodeContent::Table(entries) => {
            for entry in entries {
                note_places(&entry.value, places);
            }
        }
        NodeContent::List(items) => {
            for item in items {
                note_places(item, places);
            }
        }
        NodeContent::Scalar => {}
    }
}
