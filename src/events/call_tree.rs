//! Tree of the calls that events belong to.

use {
    super::EventKind,
    crate::context::{CallId, MAX_DEPTH, RequestId},
    std::collections::HashMap,
};

/// Position of a call in its [`CallTree`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallIndex(u32);

/// One call with links to its parent, children and next sibling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallNode {
    pub request: RequestId,
    pub call: CallId,
    pub parent: Option<CallIndex>,
    first_child: Option<CallIndex>,
    last_child: Option<CallIndex>,
    next_sibling: Option<CallIndex>,
}

/// Calls of all requests in one flat vector, in the order in which they first occur.
#[derive(Clone, Debug, Default)]
pub struct CallTree {
    nodes: Vec<CallNode>,
    indices: HashMap<(RequestId, CallId), CallIndex>,
}

impl CallTree {
    /// Inserts the call of an event, if it has one, and links it to its parent.
    pub fn add_call(&mut self, kind: &EventKind) -> Option<CallIndex> {
        let request = kind.request()?;
        let index = self.find_or_insert(request, kind.call()?)?;
        if let Some(parent) = kind.parent() {
            let parent = self.find_or_insert(request, parent)?;
            self.link(index, parent);
        }
        Some(index)
    }

    #[must_use]
    pub fn node(&self, index: CallIndex) -> Option<&CallNode> {
        self.nodes.get(usize::try_from(index.0).ok()?)
    }

    #[must_use]
    pub fn find(&self, request: RequestId, call: CallId) -> Option<CallIndex> {
        self.indices.get(&(request, call)).copied()
    }

    /// Number of ancestors of a call, at most [`MAX_DEPTH`].
    #[must_use]
    pub fn depth(&self, index: CallIndex) -> usize {
        self.ancestors(index).count()
    }

    /// Iterates over the calls of `request`, each parent before its children.
    #[must_use]
    pub fn iter_request(&self, request: RequestId) -> CallIter<'_> {
        let is_root = |node: &CallNode| node.request == request && node.parent.is_none();
        let roots = (0_u32..)
            .zip(&self.nodes)
            .filter(|(_, node)| is_root(node))
            .map(|(position, _)| CallIndex(position));
        let mut pending: Vec<_> = roots.collect();
        pending.reverse();
        CallIter {
            tree: self,
            pending,
        }
    }

    fn ancestors(&self, index: CallIndex) -> impl Iterator<Item = CallIndex> + '_ {
        let parent_of = |index: &CallIndex| self.node(*index)?.parent;
        let first = parent_of(&index);
        std::iter::successors(first, parent_of).take(usize::from(MAX_DEPTH))
    }

    fn find_or_insert(&mut self, request: RequestId, call: CallId) -> Option<CallIndex> {
        if let Some(index) = self.find(request, call) {
            return Some(index);
        }
        let index = CallIndex(u32::try_from(self.nodes.len()).ok()?);
        self.nodes.push(CallNode {
            request,
            call,
            parent: None,
            first_child: None,
            last_child: None,
            next_sibling: None,
        });
        self.indices.insert((request, call), index);
        Some(index)
    }

    /// Links a call to its parent. The first parent is kept, and a link that would create a cycle
    /// or exceed [`MAX_DEPTH`] is ignored.
    fn link(&mut self, index: CallIndex, parent: CallIndex) {
        let has_parent = self.node(index).is_none_or(|node| node.parent.is_some());
        let is_cycle = parent == index || self.ancestors(parent).any(|ancestor| ancestor == index);
        let is_too_deep = self.depth(parent) >= usize::from(MAX_DEPTH);
        if has_parent || is_cycle || is_too_deep {
            return;
        }
        let sibling = self.node(parent).and_then(|node| node.last_child);
        self.update(index, |node| node.parent = Some(parent));
        self.update(parent, |node| {
            node.first_child = node.first_child.or(Some(index));
            node.last_child = Some(index);
        });
        if let Some(sibling) = sibling {
            self.update(sibling, |node| node.next_sibling = Some(index));
        }
    }

    fn update(&mut self, index: CallIndex, change: impl FnOnce(&mut CallNode)) {
        let position = usize::try_from(index.0).ok();
        if let Some(node) = position.and_then(|position| self.nodes.get_mut(position)) {
            change(node);
        }
    }
}

/// Iterator over the calls of one request.
#[derive(Clone, Debug)]
pub struct CallIter<'a> {
    tree: &'a CallTree,
    pending: Vec<CallIndex>,
}

impl<'a> Iterator for CallIter<'a> {
    type Item = (CallIndex, &'a CallNode);

    fn next(&mut self) -> Option<Self::Item> {
        let index = self.pending.pop()?;
        let node = self.tree.node(index)?;
        self.pending.extend(node.next_sibling);
        self.pending.extend(node.first_child);
        Some((index, node))
    }
}
