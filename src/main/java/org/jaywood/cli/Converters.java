package org.jaywood.cli;

import java.util.Optional;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.converters.BaseConverter;

import org.jaywood.gateway.GatewayLimits;
import org.jaywood.wire.Address;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Credential;

/**
 * Converters and validators of option values. Each error message names the option, its
 * value and the allowed values.
 */
final class Converters {

	private Converters() {
	}

	private static ParameterException notAllowed(String option, String value, String expected) {
		// JCommander passes a generated name in brackets for main parameters.
		String name = option.startsWith("-") ? option : "argument";
		return new ParameterException(name + " value '" + value + "' is not allowed: expected " + expected);
	}

	private static Optional<Long> parseLong(String value) {
		try {
			return Optional.of(Long.parseLong(value));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Converter of {@code ip:port}.
	 */
	public static final class AddressConverter extends BaseConverter<Address> {

		AddressConverter(String optionName) {
			super(optionName);
		}

		@Override
		public Address convert(String value) {
			try {
				return Address.parse(value);
			}
			catch (BadInputException ex) {
				throw notAllowed(getOptionName(), value, "ip:port, such as 127.0.0.1:7000");
			}
		}

	}

	/**
	 * Converter of whole numbers of at least 1.
	 */
	public static final class PositiveConverter extends BaseConverter<Long> {

		PositiveConverter(String optionName) {
			super(optionName);
		}

		@Override
		public Long convert(String value) {
			return parseLong(value).filter((number) -> number >= 1)
				.orElseThrow(() -> notAllowed(getOptionName(), value, "a whole number of at least 1"));
		}

	}

	/**
	 * Converter of generation numbers: whole numbers of at least 0.
	 */
	public static final class GenerationConverter extends BaseConverter<Long> {

		GenerationConverter(String optionName) {
			super(optionName);
		}

		@Override
		public Long convert(String value) {
			return parseLong(value).filter((number) -> number >= 0)
				.orElseThrow(() -> notAllowed(getOptionName(), value, "a generation, 0 or above"));
		}

	}

	/**
	 * Converter of the share of the heap that a memory budget takes, in percent.
	 */
	public static final class MemoryPercentConverter extends BaseConverter<Integer> {

		MemoryPercentConverter(String optionName) {
			super(optionName);
		}

		@Override
		public Integer convert(String value) {
			return parseLong(value).filter((number) -> number >= 1 && number <= GatewayLimits.MAX_MEMORY_PERCENT)
				.map(Long::intValue)
				.orElseThrow(() -> notAllowed(getOptionName(), value,
						"a percentage from 1 to " + GatewayLimits.MAX_MEMORY_PERCENT));
		}

	}

	/**
	 * Converter of TCP ports.
	 */
	public static final class PortConverter extends BaseConverter<Integer> {

		PortConverter(String optionName) {
			super(optionName);
		}

		@Override
		public Integer convert(String value) {
			return parseLong(value).filter((number) -> number >= 1 && number <= 65_535)
				.map(Long::intValue)
				.orElseThrow(() -> notAllowed(getOptionName(), value, "a port from 1 to 65535"));
		}

	}

	/**
	 * Validator of names of VMs, regions, data centres and services.
	 */
	public static final class NameValidator implements IParameterValidator {

		@Override
		public void validate(String name, String value) {
			if (!value.matches("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")) {
				throw notAllowed(name, value,
						"1 to 63 lower-case letters, digits and hyphens, with no hyphen at the start or end");
			}
		}

	}

	/**
	 * Validator of credentials. Its error message does not show the value.
	 */
	public static final class CredentialValidator implements IParameterValidator {

		@Override
		public void validate(String name, String value) {
			try {
				Credential.parse(value);
			}
			catch (BadInputException ex) {
				throw notAllowed(name, "(hidden)", "one or two non-empty values separated by a comma");
			}
		}

	}

}
