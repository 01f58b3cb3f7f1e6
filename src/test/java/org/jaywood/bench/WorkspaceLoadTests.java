package org.jaywood.bench;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the fairness index that compares the shares of small workspaces beside a large
 * one.
 */
class WorkspaceLoadTests {

	@Test
	void indexIsOneForEqualShares() {
		assertThat(WorkspaceLoad.jainIndex(List.of(0.4, 0.4, 0.4))).isWithin(1e-9).of(1);
	}

	@Test
	void indexIsInverseOfCountWhenOneGetsAll() {
		assertThat(WorkspaceLoad.jainIndex(List.of(0.0, 1.0, 0.0, 0.0))).isWithin(1e-9).of(0.25);
	}

	@Test
	void indexOfUnequalSharesFollowsTheFormula() {
		assertThat(WorkspaceLoad.jainIndex(List.of(1.0, 0.5))).isWithin(1e-9).of(0.9);
	}

}
