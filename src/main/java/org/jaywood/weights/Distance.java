package org.jaywood.weights;

import org.jspecify.annotations.Nullable;

import org.jaywood.store.VmRecord;

/**
 * Kinds of sources of content, nearest first.
 */
public enum Distance {

	/** A VM of the same data centre. */
	SAME_DATA_CENTRE,

	/** A VM of another data centre of the region. */
	SAME_REGION,

	/** A VM of another region. */
	OTHER_REGION,

	/** The weight store. */
	STORE;

	static Distance between(VmRecord self, @Nullable VmRecord source) {
		if (source == null) {
			return STORE;
		}
		if (!self.region().equals(source.region())) {
			return OTHER_REGION;
		}
		return self.dataCentre().equals(source.dataCentre()) ? SAME_DATA_CENTRE : SAME_REGION;
	}

}
