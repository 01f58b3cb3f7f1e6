package org.jaywood.platform;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.routing.RepeatPolicy;
import org.jaywood.routing.Route;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

class ObjectDecodersTests {

	private final ObjectDecoders decoders = new ObjectDecoders(Map.of("kushiro-a", "doto"));

	private static JsonNode json(String text) {
		return Json.tree(text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
	}

	private static JsonNode entry(String spec) {
		return json("{'Metadata':{'Name':'i-1'},'Spec':" + spec + "}");
	}

	/**
	 * Guards against entries that name an upstream which must not be used.
	 */
	@Nested
	class Entries {

		@Test
		void decodesAnEngine() {
			Upstream upstream = ObjectDecodersTests.this.decoders
				.upstream(entry("{'Service':'pool','Address':'10.0.0.1:80','Zone':'kushiro-a','Slots':16,"
						+ "'State':'draining','ColdLeftMs':250,'born':7,'Models':[{'Name':'m','Version':3}],"
						+ "'layers':{'From':0,'To':16,'Version':3}}"));
			assertThat(upstream.region()).isEqualTo("doto");
			assertThat(upstream.leaving()).isTrue();
			assertThat(upstream.coldMillis()).isEqualTo(250);
			assertThat(upstream.loaded().orElseThrow().complete(16)).isTrue();
		}

		@Test
		void rejectsUnknownStatesAndMissingFields() {
			Failures.thrownBy(IllegalArgumentException.class, () -> ObjectDecodersTests.this.decoders.upstream(
					entry("{'Service':'pool','Address':'10.0.0.1:80','Zone':'kushiro-a','Slots':16,'State':'odd'}")));
			Failures.thrownBy(IllegalArgumentException.class, () -> ObjectDecodersTests.this.decoders
				.upstream(entry("{'Service':'pool','Address':7,'Zone':'kushiro-a','Slots':16,'State':'ready'}")));
			Failures.thrownBy(IllegalArgumentException.class, () -> ObjectDecodersTests.this.decoders.upstream(entry(
					"{'Service':'pool','Address':'10.0.0.1:80','Zone':'kushiro-a','Slots':'x','State':'ready'}")));
		}

	}

	/**
	 * Guards against a configuration that is read in another sense.
	 */
	@Nested
	class Configuration {

		private final RouteTable table = ObjectDecodersTests.this.decoders
			.configuration(entry("{'Version':7,'Routes':[{'Name':'r','Host':'h','PathPrefix':'/a/','Kind':'streaming',"
					+ "'Resumable':true,'TimeoutMs':6000,'TargetLatencyMs':402,'Priority':1,'MaxAttempts':2,"
					+ "'TrafficSplit':[{'Service':'x','Weight':90},{'Service':'y','Weight':10}]}],"
					+ "'Services':[{'Name':'o','Origin':'10.0.0.9:80','Zone':'kushiro-a'},{'Name':'x'}],"
					+ "'Tenants':[{'Name':'t','ApiKeys':['k1','k2'],'Priority':0}],"
					+ "'Limits':{'MaxHeaderBytes':1,'MaxBodyBytes':2,'HeaderTimeoutMs':3,'IdleTimeoutMs':4}}"));

		@Test
		void decodesRoutesKeysAndServices() {
			Route route = this.table.route("h", "/a/b").orElseThrow();
			assertThat(route.policy()).isEqualTo(RepeatPolicy.RESUMABLE_STREAM);
			assertThat(route.shares()).hasSize(2);
			assertThat(this.table.workspace("k2").orElseThrow().name()).isEqualTo("t");
			assertThat(this.table.origin().orElseThrow().region()).isEqualTo("doto");
			assertThat(this.table.service("x").orElseThrow()).isInstanceOf(ServiceProfile.Plain.class);
			assertThat(this.table.limits().idleTimeoutMillis()).isEqualTo(4);
		}

		@Test
		void keysAreRequiredWhileNoWorkspaceHasOneLeft() {
			assertThat(ObjectDecodersTests.this.decoders
				.configuration(entry("{'Version':1,'Tenants':[{'Name':'t','ApiKeys':[]}]}"))
				.keysRequired()).isTrue();
			assertThat(ObjectDecodersTests.this.decoders.configuration(entry("{'Version':1}")).keysRequired())
				.isFalse();
		}

		@Test
		void anUnknownKindMayRunOnceOnly() {
			RouteTable odd = ObjectDecodersTests.this.decoders.configuration(entry("{'Version':1,'Routes':[{'Name':'r',"
					+ "'Host':'h','PathPrefix':'/','Kind':'odd','Service':'x'}]}"));
			assertThat(odd.route("h", "/").orElseThrow().policy()).isEqualTo(RepeatPolicy.AT_MOST_ONCE);
		}

	}

}
