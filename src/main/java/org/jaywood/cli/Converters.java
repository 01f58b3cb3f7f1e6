package org.jaywood.cli;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;

import org.jaywood.wire.Address;
import org.jaywood.wire.BadInputException;

/**
 * Converters of option values, with messages that name the value and what is allowed.
 */
final class Converters {

	private Converters() {
	}

	/**
	 * Reads {@code ip:port}.
	 */
	public static final class AddressConverter implements IStringConverter<Address> {

		@Override
		public Address convert(String value) {
			try {
				return Address.parse(value);
			}
			catch (BadInputException ex) {
				throw new ParameterException("value '" + value + "' is not allowed: expected ip:port");
			}
		}

	}

}
