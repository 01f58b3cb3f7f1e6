package org.jaywood.cli;

import com.beust.jcommander.Parameter;
import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;

/**
 * Options that routers and agents share.
 */
@SuppressWarnings("NullAway.Init")
class NodeOptions {

	@Parameter(names = "--vm", required = true, validateWith = Converters.NameValidator.class,
			description = "Name of the VM")
	String vm;

	@Parameter(names = "--region", required = true, validateWith = Converters.NameValidator.class,
			description = "Region of the VM")
	String region;

	@Parameter(names = "--data-centre", required = true, validateWith = Converters.NameValidator.class,
			description = "Data centre of the VM")
	String dataCentre;

	@Parameter(names = "--listen", required = true, converter = Converters.AddressConverter.class,
			description = "Peer port, ip:port")
	Address listen;

	@Parameter(names = "--advertise", converter = Converters.AddressConverter.class,
			description = "Address at which others reach the peer port; that of --listen if not set")
	@Nullable Address advertise;

	@Parameter(names = "--operator", required = true, converter = Converters.AddressConverter.class,
			description = "Operator port, ip:port")
	Address operator;

	@Parameter(names = "--platform", required = true, converter = Converters.AddressConverter.class,
			description = "Object API and VM list of the platform, ip:port")
	Address platform;

	@Parameter(names = "--credential", validateWith = Converters.CredentialValidator.class,
			description = "Credential between processes; two separated by a comma during a key rotation")
	@Nullable String credential;

	@Parameter(names = "--drain-millis", converter = Converters.PositiveConverter.class,
			description = "Time-out of a graceful shutdown in milliseconds")
	Long drainMillis = 60_000L;

	Address advertised() {
		return (this.advertise != null) ? this.advertise : this.listen;
	}

}
