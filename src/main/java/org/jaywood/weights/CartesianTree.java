package org.jaywood.weights;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Binary tree that is heap-ordered by rank and symmetrically ordered by a second key. Its
 * shape depends only on its items and both orders.
 *
 * @param items the items
 * @param rank order in which a parent precedes its children
 * @param order order in which the left subtree precedes its parent and the parent
 * precedes the right subtree
 * @param <T> type of the items
 */
record CartesianTree<T>(List<T> items, Comparator<T> rank, Comparator<T> order) {

	/**
	 * Returns the parent of an item. Of the nearest items on both sides that precede it
	 * in rank, this is the one that is later in rank.
	 */
	Optional<T> parent(T item) {
		Optional<T> before = precedingInRank(item).filter((other) -> this.order.compare(other, item) < 0)
			.max(this.order);
		Optional<T> after = precedingInRank(item).filter((other) -> this.order.compare(other, item) > 0)
			.min(this.order);
		return Stream.of(before, after).flatMap(Optional::stream).max(this.rank);
	}

	/**
	 * Returns the children of an item, at most two.
	 */
	List<T> children(T item) {
		Optional<T> before = precedingInRank(item).filter((other) -> this.order.compare(other, item) < 0)
			.max(this.order);
		Optional<T> after = precedingInRank(item).filter((other) -> this.order.compare(other, item) > 0)
			.min(this.order);
		Optional<T> left = this.items.stream()
			.filter((other) -> this.order.compare(other, item) < 0
					&& before.map((bound) -> this.order.compare(other, bound) > 0).orElse(true))
			.min(this.rank);
		Optional<T> right = this.items.stream()
			.filter((other) -> this.order.compare(other, item) > 0
					&& after.map((bound) -> this.order.compare(other, bound) < 0).orElse(true))
			.min(this.rank);
		return Stream.of(left, right).flatMap(Optional::stream).toList();
	}

	private Stream<T> precedingInRank(T item) {
		return this.items.stream().filter((other) -> this.rank.compare(other, item) < 0);
	}

}
