package org.jaywood.cli;

import java.util.Optional;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.converters.BaseConverter;

import org.jaywood.wire.Address;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Credential;

/**
 * Converters and checks of option values. Each failure names the option, its value and
 * what is allowed.
 */
final class Converters {

	private Converters() {
	}

	private static ParameterException notAllowed(String option, String value, String expected) {
		// JCommander gives main parameters a name of its own in brackets.
		String name = option.startsWith("-") ? option : "argument";
		return new ParameterException(name + " value '" + value + "' is not allowed: expected " + expected);
	}

	private static Optional<Long> number(String value) {
		try {
			return Optional.of(Long.parseLong(value));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Reads {@code ip:port}.
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
	 * Reads a whole number of at least 1.
	 */
	public static final class PositiveConverter extends BaseConverter<Long> {

		PositiveConverter(String optionName) {
			super(optionName);
		}

		@Override
		public Long convert(String value) {
			return number(value).filter((number) -> number >= 1)
				.orElseThrow(() -> notAllowed(getOptionName(), value, "a whole number of at least 1"));
		}

	}

	/**
	 * Reads a generation.
	 */
	public static final class GenerationConverter extends BaseConverter<Long> {

		GenerationConverter(String optionName) {
			super(optionName);
		}

		@Override
		public Long convert(String value) {
			return number(value).filter((number) -> number >= 0)
				.orElseThrow(() -> notAllowed(getOptionName(), value, "a generation, 0 or above"));
		}

	}

	/**
	 * Reads a TCP port.
	 */
	public static final class PortConverter extends BaseConverter<Integer> {

		PortConverter(String optionName) {
			super(optionName);
		}

		@Override
		public Integer convert(String value) {
			return number(value).filter((number) -> number >= 1 && number <= 65_535)
				.map(Long::intValue)
				.orElseThrow(() -> notAllowed(getOptionName(), value, "a port from 1 to 65535"));
		}

	}

	/**
	 * Checks a name of a VM, region, data centre or service.
	 */
	public static final class NameValidator implements IParameterValidator {

		@Override
		public void validate(String name, String value) {
			if (!value.matches("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")) {
				throw notAllowed(name, value, "1 to 63 lower-case letters, digits and inner hyphens");
			}
		}

	}

	/**
	 * Checks a credential. The message does not show it.
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
