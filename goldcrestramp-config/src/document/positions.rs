//! Finds the position of a path after a document has been read.

use goldcrestramp_types::FastMap;

use super::{
    fault::SourcePosition,
    tree::{DocumentNode, NodeContent},
};

/// The positions of all values of one document, by path.
#[derive(Clone, Debug)]
pub(crate) struct PositionIndex {
    positions: FastMap<String, SourcePosition>,
}

impl PositionIndex {
    /// Indexes `node` and all values below it.
    pub(crate) fn new(node: &DocumentNode) -> Self {
        let mut positions = FastMap::default();
        insert_positions(node, &mut positions);
        Self { positions }
    }

    /// Returns the position of a value, or that of its closest ancestor if the
    /// text doesn't have it.
    pub(crate) fn find(&self, path: &str) -> SourcePosition {
        let mut path = path;
        loop {
            if let Some(position) = self.positions.get(path) {
                return *position;
            }
            let end = path.rfind(['.', '[']);
            match end.and_then(|end| path.get(..end)) {
                Some(parent) => path = parent,
                None if path.is_empty() => return SourcePosition::default(),
                None => path = "",
            }
        }
    }
}

fn insert_positions(
    node: &DocumentNode,
    positions: &mut FastMap<String, SourcePosition>,
) {
    positions.insert(node.path.clone(), node.position);
    match &node.content {
        NodeContent::Object(entries) => {
            for entry in entries {
                insert_positions(&entry.value, positions);
            }
        }
        NodeContent::List(items) => {
            for item in items {
                insert_positions(item, positions);
            }
        }
        NodeContent::Scalar => {}
    }
}
