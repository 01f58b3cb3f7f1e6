package org.jaywood.routing;

import java.util.Comparator;
import java.util.List;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.dynatrace.hash4j.hashing.Hashing;
import org.jspecify.annotations.Nullable;

/**
 * State of one service that a gateway sends to the agents of its engines.
 *
 * @param revision revision of the store that it reflects, for logs; at one gateway it
 * does not fall when the store is restored from an older copy
 * @param profile the service
 * @param origin origin of weights, or null
 * @param target version that its engines shall serve
 * @param engines its engines
 */
public record ServiceSnapshot(long revision, ServiceProfile.Engines profile, ServiceProfile.@Nullable Origin origin,
		ModelVersion target, List<Upstream> engines) {

	/** Target version of a model before another one is set. */
	public static final long FIRST_VERSION = 1;

	/**
	 * Returns this snapshot with another target version.
	 */
	public ServiceSnapshot withTarget(ModelVersion latest) {
		return new ServiceSnapshot(this.revision, this.profile, this.origin, latest, this.engines);
	}

	/**
	 * Returns a hash of everything that agents act upon, which is the same at all
	 * gateways that have the same state.
	 */
	public long contentHash() {
		return Hashing.xxh3_64()
			.hashCharsToLong(this.target + "|" + this.engines + "|" + this.profile + "|" + this.origin);
	}

	/**
	 * Creates the snapshot of one service. It leaves out times that elapse by themselves
	 * and, of several entries with one address, all but the youngest, since an engine
	 * that loses power leaves an entry behind for a while.
	 */
	public static ServiceSnapshot of(long revision, ServiceProfile.Engines profile,
			ServiceProfile.@Nullable Origin origin, long version, List<Upstream> upstreams) {
		List<Upstream> engines = upstreams.stream()
			.filter((upstream) -> upstream.service().equals(profile.name()))
			.collect(Collectors.toMap(Upstream::address, Function.identity(),
					BinaryOperator.maxBy(Comparator.comparingLong(Upstream::bornMillis))))
			.values()
			.stream()
			.map(Upstream::withoutColdTime)
			.sorted(Comparator.comparing(Upstream::id))
			.toList();
		return new ServiceSnapshot(revision, profile, origin, new ModelVersion(profile.model(), version), engines);
	}

}
